Feature: Online requests that need more slots than there are

  Scenario Outline: Waves of <wave> requests a second before <upstreams> upstreams
    Given <instances> instances before <upstreams> upstreams of 8 slots
    When <calm> requests a second come, and <wave> in waves, for 29 s
    Then <on_time> in 100 are on time, where one queue gives <one_queue> at most
    And <refused> in 100 are refused at most, and <dropped> held and then dropped
    And <queued> in 100 meet a queue at an upstream at most

    Examples: waves of 2.4 s each 5.8 s, a request holds its slot for 0.8 s, 0.3 s are on time
      | instances | upstreams | calm | wave | on_time | one_queue | refused | dropped | queued |
      | 10        | 5         | 8    | 38   | 99      | 100       | 0       | 0       | 0      |
      | 10        | 4         | 8    | 44   | 92      | 92        | 3       | 0       | 5      |
      | 10        | 3         | 8    | 38   | 80      | 70        | 8       | 0       | 9      |
      | 10        | 2         | 8    | 38   | 60      | 20        | 25      | 0       | 12     |
      | 10        | 1         | 6    | 28   | 42      | 12        | 50      | 0       | 9      |
      | 3         | 1         | 2    | 20   | 42      | 20        | 38      | 0       | 18     |

  # Seen: a third of a burst's requests were late after connections between instances had
  # fallen silent, though slots were free; none was refused.
  # How: each instance knew of its own requests only, and sent them to full upstreams.
  # Cause: links that are silent were opened anew after 5 s, counts dropped after 2 s.
  # Proof: with links mended in half a second the same day has no late request.
  Scenario Outline: Waves after links of <silenced> instances fell silent <before> s before each
    Given 10 instances before <upstreams> upstreams of 8 slots
    When 8 requests a second come, and <wave> in waves, for 29 s, and the links of <silenced> instances fall silent <before> s before each wave
    Then <on_time> in 100 are on time, where one queue gives <one_queue> at most
    And <refused> in 100 are refused at most, and 0 held and then dropped
    And <queued> in 100 meet a queue at an upstream at most

    Examples: waves and times as above; -1 s is in the wave
      | silenced | before | upstreams | wave | on_time | one_queue | refused | queued |
      | 6        | 1      | 5         | 38   | 99      | 100       | 0       | 1      |
      | 6        | 0      | 5         | 38   | 99      | 100       | 0       | 2      |
      | 6        | -1     | 5         | 38   | 97      | 100       | 0       | 3      |
      | 6        | 0      | 4         | 44   | 85      | 92        | 3       | 18     |
      | 10       | -1     | 4         | 44   | 82      | 92        | 3       | 18     |

  Scenario: Those sent away come back as fast as slots come free
    Given 10 instances before 2 upstreams of 8 slots
    When 8 requests a second come, and 38 in waves, for 29 s
    Then those refused are told to come back after 0.1 to 5 s

  Scenario: Instances that do not hear each other hold nothing to drop it
    Given 10 instances before 3 upstreams of 8 slots
    When the same come to instances that do not hear each other
    Then 0 in 100 are refused at most, and 0 held and then dropped

  Scenario Outline: <slots> free slots for <waiters> at <now> s
    Then of <waiters> at <now> s, <slots> free slots go to <order>

    Examples: name:on time if sent by:answered if sent by:priority; 8 slots, one upstream, at which one late request may wait
      | waiters                       | now | slots | order  |
      | a:0.2:4 b:0.3:4               | 0   | 1     | a      |
      | a:0.2:4 b:0.3:4               | 0.1 | 2     | a b    |
      | a:0.2:4 b:0.3:4               | 0.25 | 1    | b a    |
      | a:0.2:4 b:0.3:4               | 0.25 | 2    | b a    |
      | a:0.2:4 b:0.1:3               | 0.5 | 1     | b a    |
      | a:0.2:4:1 b:0.3:4:0           | 0   | 1     | b      |
      | a:0.2:4 b:0.3:4               | 0   | 0     | nobody |

  Scenario Outline: What goes first where <others> wait elsewhere
    Then beside <others> elsewhere, one that is due in <due> s has <ahead> before it

    Examples: rank:due in s:count
      | others                        | due | ahead |
      | ONLINE:0.1:1                  | 0.2 | 1     |
      | ONLINE:0.3:1                  | 0.2 | 0     |
      | ONLINE:0.1:1 ONLINE:0.15:2    | 0.2 | 3     |
      | ONLINE:-0.1:1                 | 0.2 | 0     |
      | ONLINE_LATE:0.1:5             | 0.2 | 0     |
      | BATCH:0.1:5                   | 0.2 | 0     |
      | ONLINE:0.1:5:calc             | 0.2 | 0     |

  Scenario: Others that do not take their slot
    Then an open slot that is left to others is taken after 0.06 to 0.13 s

  Scenario Outline: A new request with <state>
    Then with <state> a new request ends <outcome> at once

    Examples:
      | state                                          | outcome |
      | a free slot                                    | served  |
      | no upstream                                    | nowhere |
      | an ejected upstream alone                      | served  |
      | no free slot                                   | waiting |
      | no free slot and a short deadline              | refused |
      | no free slot and thousands before it           | refused |
      | no free slot and its answer begun              | waiting |

  Scenario Outline: An item while <rate> requests of <ms> ms a second come, with <free> slots free
    Then an item at <rate> requests of <ms> ms a second and <free> free slots ends <outcome>

    Examples: batch leaves free what online requests take before an item pays off, and what others wait for
      | rate | ms  | free | outcome             |
      | 0    | 800 | 1    | placed              |
      | 8    | 800 | 1    | placed              |
      | 35   | 800 | 3    | left to online      |
      | 35   | 800 | 4    | placed              |
      | 200  | 3   | 1    | placed              |
      | 200  | 6   | 1    | left to online      |
      | 0    | 800 | 2    | left to 2 elsewhere |
      | 0    | 800 | 3    | placed beside 2 elsewhere |

  Scenario Outline: An upstream of 8 slots with <known> known and <unknown> unknown runs
    Then beside <known> known and <unknown> unknown runs <open> slots are open

    Examples: unknown runs are those of instances that have lost their power
      | known | unknown | open |
      | 0     | 0       | 8    |
      | 2     | 5       | 1    |
      | 2     | 6       | 0    |
      | 8     | 3       | 0    |

  Scenario Outline: A report of <reported> requests while <known> are tracked
    Then after an estimate of <before> a report of <reported> requests beside <known> tracked ones gives <estimate>

    Examples: tracked requests are counted several times around that of the report
      | before | known | reported | estimate |
      | 0      | 3 3   | 8        | 5        |
      | 0      | 3 4   | 8        | 4        |
      | 5      | 3 3   | 8        | 5        |
      | 5      | 2 4   | 8        | 4        |
      | 5      | 8 8   | 8        | 0        |
      | 0      | 6 8   | 7        | 0        |
      | 2      | 8 8   | 3        | 0        |
      | 1      | 7 8   | 8        | 0        |

  Scenario Outline: <count> attempts are abandoned <how> and run on for <lasts> s beside <rate> per s
    When <count> attempts are abandoned <how> and run on for <lasts> s beside <rate> per s
    Then the estimate is at most <few> too low from <after> s on, until they end
    And slots stay unused for 0.6 s at most after they have ended
    And the upstream is probed <probes> times at most

    Examples: reports are 0.05 s old, and other requests start and end meanwhile; ten seeds
      | count | how                            | lasts | rate | after | few | probes |
      | 3     | as stalled                     | 2.5   | 0    | 0     | 0   | 16     |
      | 3     | as stalled                     | 2.5   | 5    | 0     | 1   | 16     |
      | 3     | for another reason             | 2.5   | 0    | 0.3   | 0   | 16     |
      | 3     | for another reason             | 2.5   | 5    | 0.6   | 1   | 16     |
      | 5     | by a peer whose counts expired | 2.5   | 0    | 0.3   | 0   | 16     |
      | 5     | by a peer whose counts expired | 2.5   | 5    | 0.6   | 1   | 16     |
      | 0     | by a peer whose counts expired | 0     | 5    | 0     | 0   | 4      |
      | 3     | as stalled                     | 0.05  | 0    | 0     | 0   | 4      |

  # Guards against an estimate that falls although reports support it, so that requests
  # queue behind untracked ones.
  Scenario: Abandoned attempts beside other requests, with a hundred seeds
    When 3 attempts are abandoned as stalled and run on for 2.5 s beside 5 per s, with 100 seeds
    Then the estimate is at most 1 too low from 0 s on, until they end
    And slots stay unused for 0.6 s at most after they have ended

  Scenario: The rate of load probes is bounded
    Then 6 upstreams with uncertain counts get 36 probes per s at most
    And 2000 upstreams with uncertain counts get 250 probes per s at most

  Scenario: Untracked requests expire without reports
    Then untracked requests of an upstream without reports expire after 5 s

  Scenario: Services have slots of their own
    Then one that waits for another service does not hold up a request with a free slot

  Scenario: How long answers take is known from the first one
    Then an answer of 0.2 s and one of 0.4 s make a time of 0.21 s

  Scenario: Zones tell each other how fast requests come
    Then the rates of a zone are those of its instances, and are forgotten with it

  Scenario Outline: A request that waits at an instance that stops in <stops> s
    Then one that waits where a stop cuts everything after <stops> s is <outcome> at <now> s

    Examples: answered if sent by 4.2 s, an answer takes 1 s
      | stops | now | outcome |
      | 9     | 3   | waiting |
      | 9     | 4.3 | refused |
      | 3     | 1.9 | waiting |
      | 3     | 2.1 | refused |
