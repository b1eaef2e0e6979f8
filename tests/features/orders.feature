Feature: Orders to engines under a fenced lease
  Engines converge to the desired versions, whether or not they check fencing
  tokens, and a rollout loses no request.

  Scenario Outline: A rollout loses no request if each engine <fencing> fencing tokens
    Given a fleet of 1 zones, each with 2 entries and 3 engines
      | option  | value       |
      | fencing | "<fencing>" |
    When the deployment wants {"v1": 1, "v2": 1} while requests go on
    Then every engine has loaded "v1,v2"
    When the deployment wants {"v2": 1} while requests go on
    Then every engine has loaded "v2"
    And no request was lost

    Examples:
      | fencing |
      | checks  |
      | ignores |

  Scenario: An engine that starts with nothing loaded loads the desired versions
    Given a fleet of 1 zones, each with 2 entries and 2 engines
    When engine 1 is killed
    And engine 1 starts again with nothing loaded
    Then every engine has loaded "v1"

  Scenario Outline: Another instance acquires the lease of a paused holder
    Given a fleet of 1 zones, each with 3 entries and 2 engines
      | option  | value       |
      | fencing | "<fencing>" |
    When the deployment wants {"v1": 1, "v2": 1} while requests go on
    Then every engine has loaded "v1,v2"
    When the holder of the lease is <done>
    And the deployment wants {"v1": 1, "v3": 1} at another entry
    Then every engine has loaded "v1,v3"
    When the paused holder is resumed
    Then every engine still has "v1,v3" after a while

    Examples:
      | fencing | done   |
      | checks  | paused |
      | ignores | paused |

  Scenario: An engine that checks fencing tokens refuses an order with an old one
    Given a fleet of 1 zones, each with 1 entries and 1 engines
    When the deployment wants {"v1": 1, "v2": 1} while requests go on
    Then every engine has loaded "v1,v2"
    When a previous holder orders engine 1 to unload "v1"
    Then the engine refuses it

  Scenario: A stale order to an engine that ignores fencing tokens is reversed
    Given a fleet of 1 zones, each with 1 entries and 1 engines
      | option  | value     |
      | fencing | "ignores" |
    When a previous holder orders engine 1 to unload "v1"
    Then every engine has loaded "v1"

  Scenario Outline: Orders for engines that have loaded <loaded> and should load <desired>
    Then the orders are <orders>

    Examples: engines a, b, c; at most 2 loads; 1 engine is enough; unload is allowed or not
      | loaded      | desired | unload | orders              |
      | 1 1 1       | 1       | yes    | nothing             |
      | 1 1 1       | 1,2     | yes    | a+2 b+2             |
      | 1,2 1 1     | 1,2     | yes    | b+2 c+2             |
      | 1,2 1,2 1,2 | 2       | no     | nothing             |
      | 1,2 1,2 1,2 | 2       | yes    | a-1 b-1 c-1         |
      | 1 1 1       | 2       | yes    | a+2 b+2             |
      | 1,2 1 1     | 2       | yes    | b+2 c+2 a-1 b-1 c-1 |
      | - - -       | 1       | yes    | a+1 b+1             |
      | 1 1 1       | -       | yes    | nothing             |
