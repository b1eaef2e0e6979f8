Feature: Kept connections to upstreams that go silent without a reset

  # Seen: connections went silent for good while new ones worked; a call on a kept one
  # hung for as long as it was allowed, and the next call took the next dead one.
  # How: a kept connection shows nothing until it is used, and after that only the lack
  # of an answer; a pool gives out its idle connections one after the other.
  # Proof: as many calls were lost, one after the other, as connections had been kept.
  Scenario Outline: <kept> kept connections go silent, then <what>
    When <kept> kept connections to an upstream go silent, and <calls> <what> follow
    Then 1 of them is lost, and no request was read twice

    Examples: a call may take 0.4 s
      | kept | calls | what    |
      | 1    | 3     | calls   |
      | 8    | 6     | calls   |
      | 4    | 3     | reports |

  Scenario: The kernel tells a silent connection from a slow upstream
    Then a connection whose bytes an upstream does not take ends within 2.5 s

  # Seen: an instance stood still for 45, 61 and 100 ms, every 3.5 s, beside no load but 105
  # requests a second, each on a connection of its own. How: garbage collections, of ever
  # more objects: what served a connection stayed for as long as an idle one may be kept,
  # 120 s, though its client had closed it. Cause: the server waits for its timer of idle
  # connections before it lets go of one, and nobody ends that timer.
  # Proof: of 420 tasks 133 were such timers, one for each connection that had been closed,
  # and as many 22 s later.
  Scenario Outline: A client's connection is closed <when>
    When 20 clients of a server close their connections <when>
    Then nothing is left of them within 1 s

    Examples:
      | when                     |
      | after an answer          |
      | after two answers        |
      | before a request         |
      | within a request         |
      | within an answer         |
      | by a reset               |
      | for writing, then wholly |
