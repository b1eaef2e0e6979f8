Feature: Switching mechanisms off, one at a time

  Scenario: Each ablation of the file finds its text exactly once
    Then every ablation of bench/ablations.yaml replaces one text of the sources

  Scenario Outline: An ablation whose text stands <times> times in its file
    When an ablation is made whose text stands <times> times
    Then the ablation is <taken>

    Examples: what is not found would measure nothing
      | times | taken   |
      | 0     | refused |
      | 1     | made    |
      | 2     | refused |

  Scenario Outline: Differences of <differences> over days
    Then differences of <differences> over days are judged as <judged>

    Examples: in worth, to the code as it is
      | differences         | judged        |
      | -0.04,-0.03,-0.05   | yes           |
      | -0.09,0.06,-0.02    | no            |
      | 0.0,0.0,0.0         | never reached |
      | -0.08,-0.06         | too few days  |
