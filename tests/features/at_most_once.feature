Feature: Calls that may not be repeated
  A nurse's allergen check runs at most once, and is never answered twice with
  different answers, whichever instance it is sent to.

  Background:
    Given a fleet of 1 zones, each with 2 entries and 1 engines
      | option   | value |
      | services | 1     |
    When the allergen route is configured

  Scenario: A resend to another instance gets the same answer
    When an allergen check "nuts" with key "k1" is sent to entry 1
    Then it is answered "ran 1: nuts"
    When an allergen check "nuts" with key "k1" is sent to entry 2
    Then it is answered "ran 1: nuts"
    And the service has run 1 checks

  Scenario: A key is not reused for another request
    When an allergen check "nuts" with key "k1" is sent to entry 1
    And an allergen check "milk" with key "k1" is sent to entry 2
    Then it fails as conflict, NOT_RUN
    And the service has run 1 checks

  Scenario Outline: An answer that <fault> is unknown for ever, and not run again
    Given the service has <knobs>
    When an allergen check "nuts" with key "k1" is sent to entry 1
    Then it fails as outcome_unknown, UNKNOWN
    When an allergen check "nuts" with key "k1" is sent to entry 2
    Then it fails as outcome_unknown, UNKNOWN
    And the service has run 1 checks

    Examples:
      | fault                 | knobs             |
      | is lost               | {"lose_next": 1}  |
      | belongs to another    | {"cross_next": 1} |

  Scenario: A check that was refused as not run may be sent again
    Given the service has {"refuse": true}
    When an allergen check "nuts" with key "k1" is sent to entry 1
    Then it fails as upstream_unavailable, NOT_RUN
    Given the service has {"refuse": false}
    When an allergen check "nuts" with key "k1" is sent to entry 2
    Then it is answered "ran 1: nuts"

  Scenario: With the platform away a keyed check is refused as not run
    Given the platform has {"outage": true}
    When an allergen check "nuts" with key "k1" is sent to entry 1
    Then it fails as platform_unavailable, NOT_RUN
    And the service has run 0 checks
    When an allergen check "milk" without a key is sent to entry 1
    Then it is answered "ran 1: milk"

  Scenario: A claim whose answer was lost still runs once
    Given the platform has {"lose_next": 1}
    When an allergen check "nuts" with key "k1" is sent to entry 1
    Then it is answered "ran 1: nuts"
    And the service has run 1 checks

  Scenario: The instance dies while the check runs
    Given the service has {"wait_s": 1.0}
    When an allergen check "nuts" with key "k1" is sent to entry 1 and it is killed
    Given the service has {"wait_s": 0.0}
    When an allergen check "nuts" with key "k1" is sent to entry 2
    Then it fails as outcome_unknown, UNKNOWN
    And the service has run 1 checks
