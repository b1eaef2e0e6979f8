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

  Scenario: A table of plays says what lies outside the noise
    Then plays with a spread of 0.01 and differences of 0.002 and 0.1 give no and yes
