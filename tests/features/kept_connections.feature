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
