Feature: Batch jobs under failure
  An accepted item completes exactly once and its result stays readable,
  whatever happens while it runs.

  Scenario Outline: A lot completes exactly once although <fault>
    Given a fleet of 1 zones, each with 3 entries and 3 engines
    When a lot of 1500 items is submitted with key "sunday"
    And the lot has begun
    And <act>
    And <mend>
    Then the lot completes with every result right

    Examples:
      | fault                             | act                             | mend                             |
      | a feeding instance is killed      | the feeder of engine 1 is killed | nothing is mended               |
      | two instances are killed          | entries 2 and 3 are killed      | nothing is mended                |
      | a killed one starts again         | the feeder of engine 1 is killed | it is started again             |
      | a holder pauses past its challenge | the feeder of engine 1 is paused | it is resumed after 6 seconds  |
      | the platform is away              | the platform has {"outage": true} | it is back after 3 seconds     |
      | the platform hangs                | the platform has {"hang": true} | it is back after 3 seconds       |
      | one in three answers is lost      | the platform has {"lose_share": 0.33} | nothing is mended          |
      | lost changes take effect late     | the platform has {"lose_share": 0.2, "late_effect_s": 1.5} | nothing is mended |
      | a claim's input does not come     | the platform has {"lose_share": 0.5} | the platform is away for 2 seconds |
      | an engine dies                    | engine 1 is killed              | nothing is mended                |
      | an engine cuts streams            | engine 1 has {"cut_next": 30, "cut": 2} | nothing is mended        |
      | an engine crosses answers         | engine 1 has {"cross": 20}      | nothing is mended                |
      | an engine leaves                  | engine 1 has {"leaving": true}  | nothing is mended                |
      | an instance is stopped as planned | entry 1 is terminated           | nothing is mended                |

  Scenario: Without faults no item is run twice
    Given a fleet of 1 zones, each with 3 entries and 3 engines
    When a lot of 1500 items is submitted with key "sunday"
    Then the lot completes with every result right
    And no item was run twice

  Scenario: A resend finds the first job, at any instance and at any time
    Given a fleet of 1 zones, each with 2 entries and 1 engines
    When a lot of 100 items is submitted with key "sunday"
    And the same lot is submitted again at entry 2
    Then it is answered as the first job
    Then the lot completes with every result right
    When the same lot is submitted again at entry 2
    Then it is answered as the first job
    When another lot is submitted with the same key
    Then the submission is refused as conflict, NOT_RUN

  Scenario: An acceptance whose answer was lost is found again
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    And the platform has {"lose_next": 1}
    When a lot of 100 items is submitted with key "sunday"
    Then the lot completes with every result right
    And there is 1 job

  Scenario: The instance is killed right after it has acknowledged
    Given a fleet of 1 zones, each with 2 entries and 1 engines
    When a lot of 300 items is submitted with key "sunday"
    And entry 1 is killed
    Then the lot completes at entry 2 with every result right

  Scenario: With the platform away a job is refused as not run
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    And the platform has {"outage": true}
    When a lot of 100 items is submitted with key "sunday"
    Then the submission is refused as platform_unavailable, NOT_RUN

  Scenario Outline: A lot with <problem> is refused whole
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a lot with the lines <lines> is submitted
    Then the submission is refused as <kind>, NOT_RUN
    And the refusal names <place>
    And there is 0 job
    And no input is left behind

    Examples:
      | problem           | lines                                         | kind            | place          |
      | a line not JSON   | {"prompt": "a"};nonsense                      | invalid_request | line 2         |
      | an unknown field  | {"prompt": "a"};{"prompt": "b", "x": 1}       | invalid_request | line 2         |
      | no prompt         | {"id": "a"}                                   | invalid_request | line 1         |
      | a wrong type      | {"prompt": "a"};{"prompt": "b"};{"prompt": 7} | invalid_request | line 3         |
      | wrong encoding    | {"prompt": "\xff"}                            | invalid_request | line 1         |
      | no items          |                                               | invalid_request | no items       |

  Scenario: A lot for an unknown deployment is refused
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a lot of 10 items is submitted for "breakfast"
    Then the submission is refused as not_found, NOT_RUN

  Scenario: An item that can never be done fails readably and holds up no other
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    And engine 1 has {"reject_prompts": "item 7 "}
    When a lot of 200 items is submitted with key "sunday"
    Then the lot completes with every result right but item 7
    And item 7 was run at most 3 times

  Scenario: A cancelled job stops, and no result appears afterwards
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    When a lot of 3000 items is submitted with key "sunday"
    And the lot has begun
    And the lot is cancelled at entry 2
    Then the lot is cancelled for everybody
    And its results stay as they are
    And nothing of the lot runs any more

  Scenario: A completed job cannot be cancelled
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When a lot of 64 items is submitted with key "sunday"
    Then the lot completes with every result right
    When the lot is cancelled at entry 1
    Then the submission is refused as job_ended, NOT_RUN

  Scenario: A late job shows before its due time
    Given a fleet of 1 zones, each with 1 entries and 1 engines
      | option   | value                              |
      | settings | {"batch": {"max_concurrency": 1}}  |
    When a lot of 1000 items is submitted, due in 8 seconds
    Then the lot is shown as late before it is due

  Scenario: Batch lets go of a runner for an online request, and loses nothing
    Given a fleet of 1 zones, each with 2 entries and 1 engines
    When a lot of 300 items of 60 tokens is submitted
    And the lot has begun
    And 4 requests of 400 tokens run at entry 2 while no batch is left
    Then each is answered whole with its own answer
    And the lot completes with every result right
