Feature: Decisions, each on its own with the clock passed in

  Scenario Outline: Routing with <case>
    Given upstreams <upstreams>
    When one is chosen in zone "a" for version "v1"
    Then the choice is <choice>

    Examples: id zone online batch and flags: L leaving, E ejected, N version not loaded
      | case                          | upstreams                         | choice                      |
      | an idle one                   | x:a:3:0 y:a:0:0                   | y                           |
      | batch on the idle one         | x:a:0:8 y:a:1:0                   | y                           |
      | another zone no better        | x:a:0:0 y:b:0:0                   | x                           |
      | another zone idle             | x:a:2:0 y:b:0:0                   | y                           |
      | the own zone overloaded       | x:a:9:0 y:b:0:0                   | y                           |
      | the idle one leaving          | x:a:3:0 y:a:0:0:L                 | x                           |
      | the idle one ejected          | x:a:3:0 y:a:0:0:E                 | x                           |
      | the version elsewhere         | x:a:3:0 y:a:0:0:N                 | x                           |
      | all leaving                   | x:a:0:0:L y:a:0:0:L               | none: leave or failed       |
      | all ejected                   | x:a:0:0:E y:a:0:0:E               | none: ejected               |
      | nobody                        | -                                 | none: no upstream serves    |

  Scenario Outline: A circuit breaker after <events>
    Then the breaker is <state> and lets <lets> through

    Examples: f failure, s success, wN wait N seconds, t a trial starts
      | events            | state     | lets    |
      | f f               | closed    | all     |
      | f f f             | open      | nothing |
      | f f s f f         | closed    | all     |
      | f f f w1          | half_open | one     |
      | f f f w1 t        | half_open | nothing |
      | f f f w1 t s      | closed    | all     |
      | f f f w1 t f      | open      | nothing |
      | f f f w1 t f w1   | open      | nothing |
      | f f f w1 t f w2   | half_open | one     |

  Scenario Outline: Admission of <tokens> tokens in <allowed> s with <in_flight> in flight
    Then admission says <answer>

    Examples: first token 0.2 s, 0.05 s between tokens, at most 10 in flight
      | tokens | allowed | in_flight | answer             |
      | 10     | 1.0     | 0         | admitted           |
      | 100    | 1.0     | 0         | refused, retry 4.2 |
      | 10     | 1.0     | 10        | refused, retry 0.1 |
      | 10     | 0.0     | 0         | refused, retry 0.0 |
      | 10000  | 1.0     | 0         | refused, retry 30.0 |

  Scenario Outline: The forecast refuses all requests, <rate> a second for <s> s
    Then at most <let_in> of <rate> requests a second for <s> s are let in against the forecast

    Examples: one each 2 s shows whether the forecast still holds
      | rate | s  | let_in |
      | 1    | 10 | 4      |
      | 20   | 10 | 4      |
      | 200  | 60 | 29     |

  Scenario: Reports alone do not end the ejection of an engine that fails its requests
    Then of an engine that fails every request and reports, 8 are tried in 30 s

  Scenario Outline: A tenant's rate of <rate> over <instances> instances
    When <count> requests come at once and again after a second
    Then <first> are let in at first and <second> later

    Examples:
      | rate | instances | count | first | second |
      | 10   | 1         | 40    | 20    | 10     |
      | 10   | 5         | 40    | 5     | 2      |
      | 0    | 5         | 40    | 40    | 40     |

  Scenario: Retries are a fraction of first attempts
    When 100 first attempts are made with a budget of one in ten
    Then 20 retries are granted at once and 1 after a second

  Scenario Outline: An attempt that went <path> proves <outcome>
    Then the attempt proves <outcome>, and cannot go on to <never>

    Examples:
      | path           | outcome | never    |
      | -              | not_run | answered |
      | sent           | unknown | queued   |
      | sent answered  | run     | lost     |
      | sent refused   | not_run | answered |
      | sent lost      | unknown | answered |

  Scenario Outline: An event stream of <bytes>
    Then its texts are <texts>, whatever its division

    Examples:
      | bytes                                                    | texts                      |
      | data: {"id":"r","text":"a"};;data: [DONE];;              | a, ended                   |
      | data: {"id":"r","text":"a"};;data: {"id":"r","text":"b"};; | ab, not ended            |
      | data: {"id":"q","text":"a"};;                            | error: another request     |
      | data: {"id":"r"};;                                       | error: does not fit        |
      | data: nonsense;;                                         | error: does not fit        |
      | event: x;;                                               | error: does not begin      |
      | data: [DONE];;data: {"id":"r","text":"a"};;              | error: follow the end      |

  Scenario Outline: Outside bytes never break the decoder of <what>
    Then no bytes make the decoder of <what> fail with anything but its refusal

    Examples:
      | what            |
      | event streams   |
      | peers' messages |
      | lines of a lot  |
      | settings        |
      | entity bodies   |

  Scenario Outline: A challenge with <events>
    Then the holder <verdict>

    Examples: vN the row has version N, wN wait N seconds, i platform away; 2.5 s to answer
      | events               | verdict               |
      | v7                   | keeps its segments    |
      | v7 w2 v7             | keeps its segments    |
      | v7 w2 v7 w1 v7       | may be taken over     |
      | v7 w3 v0             | keeps its segments    |
      | v7 w2 v8 w1 v8       | keeps its segments    |
      | v7 w3 i v7           | keeps its segments    |
      | v7 w3 i v7 w3 v7     | may be taken over     |

  Scenario: A holder that answers is asked again only after longer and longer pauses
    When a holder answers 4 challenges in a row
    Then it is left alone for 2, 4, 8 and 16 seconds

  Scenario Outline: The detector with <events>
    Then member "x" is thought <state>

    Examples: hIB heartbeat of incarnation I beat B, wN wait N seconds ticking, pN pause N seconds, sN stand still for less than 3; 3 s to suspect
      | events              | state  |
      | h1.1 w2             | alive  |
      | h1.1 w4             | silent |
      | h1.1 w4 h1.1        | silent |
      | h1.1 w4 h1.2        | alive  |
      | h1.5 w4 h2.1        | alive  |
      | h2.1 w4 h1.9        | silent |
      | h1.1 p10            | alive  |
      | h1.1 p10 w4         | silent |
      | h1.1 w2 s1.6        | alive  |
      | h1.1 w2 s1.6 w2     | silent |
      | h1.1 w2 s1.4        | silent |
      | h1.1 w4 s1.6        | silent |
      | h1.1 w4 p10         | silent |

  Scenario: An instance whose earlier start is remembered outdoes it
    When a peer remembers incarnation 9 of an instance that started as 5
    Then its next heartbeat has incarnation 10

  Scenario Outline: A document at revision 3 that is given <changes>
    Then it is at revision <revision>

    Examples:
      | changes | revision |
      | 4       | 4        |
      | 4 5 6   | 6        |
      | 2 3     | 3        |
      | 5       | 3        |
      | 4 6     | 4        |
      | s2      | 3        |
      | s9      | 9        |
      | s9 4    | 9        |

  Scenario Outline: <items> items for <runners> runners
    Then there are <segments> segments of <segment> items in chunks of <chunk>

    Examples:
      | items  | runners | segments | segment | chunk |
      | 1      | 6       | 1        | 1       | 1     |
      | 300    | 6       | 5        | 64      | 64    |
      | 20000  | 6       | 24       | 834     | 417   |
      | 670000 | 6       | 164      | 4096    | 512   |
      | 670000 | 588     | 2351     | 285     | 285   |

  Scenario Outline: Feed policy <policy> with <events>
    Then it allows <limit> items

    Examples: oN online requests in flight, wN wait N milliseconds; 32 at most
      | policy | events             | limit |
      | none   | o5                 | 32    |
      | static | o5                 | 8     |
      | yield  | o0                 | 32    |
      | yield  | o1                 | 0     |
      | yield  | o1 w90 o0          | 0     |
      | yield  | o1 w110 o0         | 8     |
      | yield  | o1 w160 o0         | 16    |
      | yield  | o1 w210 o0         | 32    |
      | yield  | o1 w2000 o0        | 32    |
      | yield  | o1 w90000 o0       | 32    |
      | yield  | o1 w2000 o0 o2     | 0     |
      | reserve | o0                | 32    |
      | reserve | o1 w90 o0         | 0     |
      | reserve | o1 w110 o0        | 4     |
      | reserve | o1 w2090 o0       | 4     |
      | reserve | o1 w2110 o0       | 8     |
      | reserve | o1 w2160 o0       | 16    |
      | reserve | o1 w2210 o0       | 32    |
      | reserve | o1 w3000 o0 o2    | 0     |

  Scenario: Feeders are spread evenly, and move little when an instance dies
    When 12 upstreams in 3 zones are assigned to 9 instances
    Then no instance feeds more than 2, and all in its own zone
    When one instance dies
    Then only the upstreams of its zone change hands
    When a whole zone dies
    Then its upstreams are fed from the other zones

  Scenario: Jobs are chosen by due time, and now and then by share
    When 4 turns are taken among a large early job and a small late one
    Then the turns go to large, large, large, small

  Scenario Outline: A job of 100 items after 10 s, <completed> completed, <claimed> claimed, due at <due>
    Then it ends at <ends> and is <late>

    Examples:
      | completed | claimed | due | ends | late    |
      | 0         | 0       | 50  | 0    | on time |
      | 0         | 0       | 5   | 0    | late    |
      | 50        | 60      | 50  | 20   | on time |
      | 10        | 60      | 50  | 100  | late    |
      | 0         | 10      | 50  | 100  | late    |
      | 10        | 60      | 0   | 100  | on time |
