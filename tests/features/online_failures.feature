Feature: Online requests under failure of upstreams
  Each caller receives the whole answer to its own request, and a refusal tells
  the truth about whether the request was run.

  Scenario Outline: Callers get whole answers although an engine <fault>
    Given a fleet of 1 zones, each with 1 entries and 2 engines
      | option   | value                              |
      | settings | {"online": {"stall_s": 1.0}}       |
    And engine 1 has <knobs>
    When 12 requests are made at once
    Then each is answered whole with its own answer

    Examples:
      | fault                       | knobs                               |
      | answers with crossed ids    | {"cross": 4}                        |
      | cuts streams in the middle  | {"cut_next": 4, "cut": 3}           |
      | dies in the middle          | {"die_after": 3}                    |
      | fails with status 500       | {"fail_next": 4}                    |
      | hangs after the headers     | {"hang": true}                      |
      | refuses everything          | {"refusing": true}                  |
      | is slow for one in four     | {"slow_every": 4, "slow_s": 1.5}    |
      | gives no load reports       | {"silent": true}                    |

  Scenario Outline: Requests that may run once are not sent again when an engine <fault>
    Given a fleet of 1 zones, each with 1 entries and 2 engines
      | option   | value                              |
      | settings | {"online": {"stall_s": 1.0}}       |
    And every engine has <knobs>
    When 4 requests are made with {"atMostOnce": true, "deadlineMs": 4000}
    Then each is refused as <kind>, <outcome>
    And each request ran at most once

    Examples:
      | fault                    | knobs                      | kind                 | outcome |
      | answers with crossed ids | {"cross": 4}               | outcome_unknown      | UNKNOWN |
      | cuts streams             | {"cut_next": 4, "cut": 3}  | outcome_unknown      | UNKNOWN |
      | fails with status 500    | {"fail_next": 4}           | outcome_unknown      | UNKNOWN |
      | refuses everything       | {"refusing": true}         | upstream_unavailable | NOT_RUN |

  Scenario: A refusal that says not run was not run
    Given a fleet of 1 zones, each with 1 entries and 2 engines
    And every engine has {"refusing": true}
    When 6 requests are made at once
    Then each is refused as upstream_unavailable, NOT_RUN
    And each refusal says when to come back
    And no engine has run anything

  Scenario: A request that cannot meet its deadline is refused at the door
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When 3 requests are made at once
    And 3 requests are made with {"maxTokens": 5000, "deadlineMs": 500}
    Then each is refused as overloaded, NOT_RUN
    And each refusal says when to come back

  Scenario Outline: A leaving upstream gets no new work, by <sign>
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    When <act>
    Then every entry sees engine 1 as <state>
    And engine 1 runs nothing new of 6 further requests

    Examples:
      | sign             | act                                  | state   |
      | its own word     | engine 1 has {"leaving": true}       | leaving |
      | refused contact  | engine 1 is killed                   | open    |

  Scenario: A leaving upstream gets no new work, by the lagging list
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    And the platform has {"list_lag_s": 2.0}
    When the list shows engine 1 as leaving
    Then every entry sees engine 1 as leaving
    And engine 1 runs nothing new of 6 further requests

  Scenario: All runners of a zone vanish and another zone serves
    Given a fleet of 2 zones, each with 1 entries and 1 engines
    When engine 1 is killed
    And 6 requests are made at entry 1
    Then each is answered whole with its own answer

  Scenario: The work of a caller who has gone is cancelled
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a caller at entry 1 goes away in the middle of its answer
    And 2 requests are made at once
    Then each is answered whole with its own answer

  Scenario: A slow reader holds up nobody else
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a slow reader takes nothing of 4 long answers
    And 6 requests are made at once
    Then each is answered whole with its own answer

  Scenario: A planned stop cuts no request in flight
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    When 6 requests of 300 tokens run at entry 1 while it is terminated
    Then each is answered whole with its own answer
    And entry 1 exits with code 0
