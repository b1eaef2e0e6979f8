Feature: Commit, claim and cancel under every order and fault
  The real store code runs step by step against rows in memory, with lost
  answers and crashes before and after each effect, and stale reads. An explorer
  that does not find a planted fault proves nothing.

  Scenario Outline: No order of steps breaks <model>
    When <model> is explored with <faults> faults in <runs> runs
    Then no invariant is broken

    Examples:
      | model                     | faults | runs  |
      | takeover                  | 0      | 20000 |
      | takeover                  | 1      | 20000 |
      | takeover                  | 2      | 40000 |
      | takeover and cancellation | 1      | 30000 |
      | takeover and cancellation | 2      | 20000 |
      | racing operators          | 2      | 20000 |
      | keyed requests            | 2      | 20000 |

  Scenario Outline: The explorer finds <model> without its check of <key>
    When <model> is explored without the checks of <key>
    Then an invariant is broken: <which>

    Examples:
      | model                     | key         | which                                |
      | takeover                  | segment/    | a result changed                     |
      | takeover and cancellation | job/        | an ended job changed its state       |
      | racing operators          | config/head | was told yes                         |
      | keyed requests            | answer/     | both run                             |
