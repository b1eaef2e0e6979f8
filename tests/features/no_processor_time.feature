Feature: A process that had no processor time does not hold it against others

  # Seen: four requests at once were 'Going elsewhere.' with ConnectTimeout of an upstream
  # with eight free slots, 0.6 s after they had come, and waited 3.4 s for a slot at the
  # other, full one, or were refused where none was left. The instance had stood still for
  # 0.55 s meanwhile (paused by signal): its 0.1 s for a connection ran out while it could
  # not see that the connection stood. An upstream's report was lost the same way.
  Scenario Outline: A process stands still for 0.4 s as it <does>
    When a process stands still for 0.4 s at each step as it <does>
    Then it has its answer each time

    Examples:
      | does                                        |
      | sends a request to an upstream              |
      | asks an upstream for its load               |
      | sends a request on a pool of kept connections |

  Scenario Outline: An upstream takes no connection as a process <does>
    When an upstream takes no connection as a process <does>
    Then it has no answer, and knows so after <least> to <most> s

    Examples:
      | does                                          | least | most |
      | sends a request to an upstream                | 0.1   | 0.25 |
      | asks an upstream for its load                 | 0.1   | 0.45 |
      | sends a request on a pool of kept connections | 0.1   | 0.25 |

  # Seen: an upstream that had let one connection wait for 0.1 s got no other request of
  # the same client, though nobody else served it: 'ConnectTimeout' of the one runner left,
  # and a refusal with seconds left until the deadline.
  Scenario Outline: The only upstream <does>
    When the only upstream <does>: <answers>
    Then the client has <body>, <end>, after <tries> tries

    Examples: a host that refuses connections has no process there
      | does                              | answers                    | body | end     | tries |
      | takes a connection the second time | late / 200 1 2            | 1 2  | whole   | 2     |
      | takes none twice                  | late / late / 200 1        | -    | not_run | 2     |
      | refuses the connection            | refused / 200 1            | -    | not_run | 1     |

  # Seen: four of six requests were held for 5 s in the queue of an upstream that runs of
  # before filled, while the other had eight free slots. The upstream had been paused as a
  # gateway that had just started asked it for its load ('An upstream did not report.'),
  # and counted as free until it was asked again.
  Scenario: An upstream that has not reported yet is used after those that have
    Given a start of an instance before upstreams x and y, x in its own zone
    When x does not report for 0.8 s, and y does
    Then requests go to y until x has reported, and to x afterwards

  # Seen: an instance stood still for 0.55 s just after it had read the list of upstreams,
  # and the requests that had come meanwhile were placed before it had asked any upstream:
  # four of six were held for 5 s behind eight runs of before, beside eight free slots.
  # An instance without a standstill was as blind, for its first 0.3 s.
  Scenario Outline: An instance that has just started before an upstream with <runs> runs of before
    Given a start of an instance before upstreams x and y, x in its own zone
    When x reports <runs> runs, and y none
    Then <after> ms after the start requests go to <where>

    Examples: x has 8 slots
      | runs | after | where |
      | 8    | 50    | y     |
      | 8    | 250   | y     |
      | 8    | 450   | y     |
      | 0    | 50    | x     |
      | 0    | 450   | x     |

  Scenario: An instance tells for how long it stood still
    When an instance stands still for 0.4 s
    Then it writes one line that says so, and its metric has at least 0.35 s

  # Seen beside load: the first six requests to an instance that had just started took
  # 0.85 s in place of 0.1 s. Of 0.55 s that one such burst took, the process waited 0.51 s
  # for a processor, by the kernel's own count. What it uses it waits for several times
  # over then, and a profile showed 26 ms of it in one garbage collection of all that the
  # instance was started with.
  Scenario: Garbage collection leaves out what an instance was started with
    Given 1 gateways and 1 runners
    Then gateway 1 says that over 30000 objects are left out of garbage collection
