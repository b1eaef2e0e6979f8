Feature: Online requests while upstreams fail
  Each client receives the whole response to its own request, and an error states
  correctly whether the request ran.

  Scenario Outline: Clients get whole responses although an engine <fault>
    Given a fleet of 1 zones, each with 1 entries and 2 engines
      | option   | value                              |
      | settings | {"online": {"stall_s": 1.0}}       |
    And engine 1 has <knobs>
    When 12 requests are made at once
    Then each is answered whole with its own answer

    Examples:
      | fault                       | knobs                               |
      | swaps response ids          | {"cross": 4}                        |
      | closes streams midway       | {"cut_next": 4, "cut": 3}           |
      | crashes midway              | {"die_after": 3}                    |
      | responds with status 500    | {"fail_next": 4}                    |
      | stalls after the headers    | {"hang": true}                      |
      | refuses all requests        | {"refusing": true}                  |
      | responds slowly to 1 in 4   | {"slow_every": 4, "slow_s": 1.5}    |
      | sends no load reports       | {"silent": true}                    |

  Scenario Outline: At-most-once requests are not retried when an engine <fault>
    Given a fleet of 1 zones, each with 1 entries and 2 engines
      | option   | value                              |
      | settings | {"online": {"stall_s": 1.0}}       |
    And every engine has <knobs>
    When 4 requests are made with {"atMostOnce": true, "deadlineMs": 4000}
    Then each is refused as <kind>, <outcome>
    And each request ran at most once

    Examples:
      | fault                    | knobs                      | kind                 | outcome |
      | swaps response ids       | {"cross": 4}               | outcome_unknown      | UNKNOWN |
      | closes streams           | {"cut_next": 4, "cut": 3}  | outcome_unknown      | UNKNOWN |
      | responds with status 500 | {"fail_next": 4}           | outcome_unknown      | UNKNOWN |
      | refuses all requests     | {"refusing": true}         | upstream_unavailable | NOT_RUN |

  Scenario: Requests refused as not run have not run
    Given a fleet of 1 zones, each with 1 entries and 2 engines
    And every engine has {"refusing": true}
    When 6 requests are made at once
    Then each is refused as upstream_unavailable, NOT_RUN
    And each refusal has a retry delay
    And no engine has run a request

  Scenario: A request that cannot meet its deadline is refused on admission
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When 3 requests are made at once
    And 3 requests are made with {"maxTokens": 5000, "deadlineMs": 500}
    Then each is refused as overloaded, NOT_RUN
    And each refusal has a retry delay

  Scenario Outline: A draining upstream gets no new requests, detected by <signal>
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    When <act>
    Then every entry reports engine 1 as <state>
    And engine 1 runs none of 6 more requests at each entry

    Examples:
      | signal               | act                                  | state   |
      | its load report      | engine 1 has {"leaving": true}       | leaving |
      | a refused connection | engine 1 is killed                   | open    |

  Scenario: A draining upstream gets no new requests, detected by the delayed node list
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    And the platform has {"list_lag_s": 2.0}
    When the node list shows engine 1 as leaving
    Then every entry reports engine 1 as leaving
    And engine 1 runs none of 6 more requests at each entry

  Scenario: Requests fail over to another zone when all engines of a zone crash
    Given a fleet of 2 zones, each with 1 entries and 1 engines
    When engine 1 is killed
    And 6 requests are made at entry 1
    Then each is answered whole with its own answer

  Scenario: Work is cancelled when the client disconnects
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a client of entry 1 disconnects in the middle of its response
    And 2 requests are made at once
    Then each is answered whole with its own answer

  Scenario: A slow client does not delay other clients
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a slow client reads nothing of 4 long responses
    And 6 requests are made at once
    Then each is answered whole with its own answer

  Scenario: A graceful shutdown completes the requests in flight
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    When 6 requests of 300 tokens run at entry 1 while it is terminated
    Then each is answered whole with its own answer
    And entry 1 exits with code 0
