Feature: Batch jobs under failures
  Every accepted item completes exactly once and its result stays readable.

  Scenario Outline: A batch job completes exactly once if <fault>
    Given a fleet of 1 zones, each with 3 entries and 3 engines
    When a batch job of 1500 items is submitted with key "sunday"
    And the batch job has started
    And <act>
    And <recovery>
    Then the batch job completes with all results correct

    Examples:
      | fault                                  | act                                                        | recovery                           |
      | a batch dispatcher is killed           | the batch dispatcher of engine 1 is killed                 | nothing is recovered               |
      | two instances are killed               | entries 2 and 3 are killed                                 | nothing is recovered               |
      | a batch dispatcher restarts            | the batch dispatcher of engine 1 is killed                 | it is started again                |
      | a holder misses its challenge          | the batch dispatcher of engine 1 is paused                 | it is resumed after 6 seconds      |
      | the platform is unavailable            | the platform has {"outage": true}                          | it is back after 3 seconds         |
      | the platform hangs                     | the platform has {"hang": true}                            | it is back after 3 seconds         |
      | one in three responses is lost         | the platform has {"lose_share": 0.33}                      | nothing is recovered               |
      | lost changes take effect late          | the platform has {"lose_share": 0.2, "late_effect_s": 1.5} | nothing is recovered               |
      | the input cannot be read after a claim | the platform has {"lose_share": 0.5}                       | the platform is away for 2 seconds |
      | an engine is killed                    | engine 1 is killed                                         | nothing is recovered               |
      | an engine closes streams early         | engine 1 has {"cut_next": 30, "cut": 2}                    | nothing is recovered               |
      | an engine swaps responses              | engine 1 has {"cross": 20}                                 | nothing is recovered               |
      | an engine drains                       | engine 1 has {"leaving": true}                             | nothing is recovered               |
      | an instance is terminated              | entry 1 is terminated                                      | nothing is recovered               |

  Scenario: Without failures no item runs twice
    Given a fleet of 1 zones, each with 3 entries and 3 engines
    When a batch job of 1500 items is submitted with key "sunday"
    Then the batch job completes with all results correct
    And no item was run twice

  Scenario: A resubmission returns the first job, at any instance and at any time
    Given a fleet of 1 zones, each with 2 entries and 1 engines
    When a batch job of 100 items is submitted with key "sunday"
    And the same batch job is submitted again at entry 2
    Then the response names the first job
    Then the batch job completes with all results correct
    When the same batch job is submitted again at entry 2
    Then the response names the first job
    When another batch job is submitted with the same key
    Then the submission is refused as conflict, NOT_RUN

  Scenario: A job whose acceptance has no response is found by its key
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    And the platform has {"lose_next": 1}
    When a batch job of 100 items is submitted with key "sunday"
    Then the batch job completes with all results correct
    And there is 1 job

  Scenario: The accepting instance is killed after its response
    Given a fleet of 1 zones, each with 2 entries and 1 engines
    When a batch job of 300 items is submitted with key "sunday"
    And entry 1 is killed
    Then the batch job completes at entry 2 with all results correct

  Scenario: A job is refused as not run while the platform is unavailable
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    And the platform has {"outage": true}
    When a batch job of 100 items is submitted with key "sunday"
    Then the submission is refused as platform_unavailable, NOT_RUN

  Scenario Outline: A batch job with <problem> is refused completely
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a batch job with the lines <lines> is submitted
    Then the submission is refused as <kind>, NOT_RUN
    And the refusal names <place>
    And there is 0 job
    And no input object is left

    Examples:
      | problem           | lines                                         | kind            | place          |
      | a line not JSON   | {"prompt": "a"};nonsense                      | invalid_request | line 2         |
      | an unknown field  | {"prompt": "a"};{"prompt": "b", "x": 1}       | invalid_request | line 2         |
      | no prompt         | {"id": "a"}                                   | invalid_request | line 1         |
      | a wrong type      | {"prompt": "a"};{"prompt": "b"};{"prompt": 7} | invalid_request | line 3         |
      | wrong encoding    | {"prompt": "\xff"}                            | invalid_request | line 1         |
      | no items          |                                               | invalid_request | no items       |

  Scenario: A batch job for an unknown deployment is refused
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a batch job of 10 items is submitted for "breakfast"
    Then the submission is refused as not_found, NOT_RUN

  Scenario: An item that always fails has an error result and delays no other item
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    And engine 1 has {"reject_prompts": "item 7 "}
    When a batch job of 200 items is submitted with key "sunday"
    Then the batch job completes with all results correct but item 7
    And item 7 was run at most 3 times

  Scenario: A cancelled job stops, and no result is committed afterwards
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    When a batch job of 3000 items is submitted with key "sunday"
    And the batch job has started
    And the batch job is cancelled at entry 2
    Then the batch job is cancelled at every instance
    And its results do not change
    And no item of the batch job runs

  Scenario: A completed job cannot be cancelled
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a batch job of 64 items is submitted with key "sunday"
    Then the batch job completes with all results correct
    When the batch job is cancelled at entry 1
    Then the submission is refused as job_ended, NOT_RUN

  Scenario: A late job is reported before its due time
    Given a fleet of 1 zones, each with 1 entries and 1 engines
      | option   | value                              |
      | settings | {"batch": {"max_concurrency": 1}}  |
    When a batch job of 1000 items is submitted, due in 8 seconds
    Then the batch job is shown as late before it is due

  Scenario: Batch items are preempted for online requests and lose no tokens
    Given a fleet of 1 zones, each with 2 entries and 1 engines
    When a batch job of 300 items of 60 tokens is submitted
    And the batch job has started
    And 4 requests of 400 tokens run at entry 2 after all batch items are preempted
    Then each is answered whole with its own answer
    And the batch job completes with all results correct
