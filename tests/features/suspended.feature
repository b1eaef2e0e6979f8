Feature: A machine that was suspended knows it at once

  # Read in the code: trio's clock leaves out the time of a suspension, and all leases,
  # deadlines, silences and ages of what was read go by it.
  Scenario Outline: After a machine was suspended for <seconds> s <what>
    When a machine is suspended for <seconds> s, and looks at <what>
    Then it finds that <what>: <found>

    Examples: a lease holds for 3 s; the moment after the wake, before anything is read
      | seconds | what                               | found |
      | 0       | the lease holds                    | yes   |
      | 1       | the lease holds                    | yes   |
      | 4       | the lease holds                    | no    |
      | 0       | the list of upstreams is fresh     | yes   |
      | 4       | the list of upstreams is fresh     | no    |
      | 0       | a request with 2 s left goes on    | yes   |
      | 1       | a request with 2 s left goes on    | yes   |
      | 4       | a request with 2 s left goes on    | no    |
      | 0       | a silence of 2 s is over            | no    |
      | 4       | a silence of 2 s is over            | yes   |
      | 0       | a peer that was heard counts as alive | yes |
      | 4       | a peer that was heard counts as alive | no  |
      | 4       | a peer that was heard counts as alive after a beat | yes |
      | 30      | an upstream that was ejected for 1 s may be tried | yes |

  Scenario: Every program of the product runs by that clock
    Then no source file outside "clock.py" has "trio.run("
