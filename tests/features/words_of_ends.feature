Feature: A crash counts once, however late and often it is reported

  # Guards against delayed crash reports, at stalled senders or receivers, being counted as
  # further crashes of the same upstream.
  Scenario Outline: <crashes> crashes under an item, <start_times>, among <instances> instances
    Then in simulations <first> to <last>, all instances count <crashes> crashes

    Examples: instances stall for up to 17 s, job owners change, rows are read late
      | instances | start_times          | crashes | first | last |
      | 63        | start times reported | 1       | 0     | 1    |
      | 63        | no start times       | 1       | 2     | 3    |
      | 12        | start times reported | 2       | 4     | 7    |
      | 12        | no start times       | 2       | 8     | 11   |

  # Guards against rows or late reports bringing back crashes that were voided or retracted,
  # and against one crash being reported with two start times.
  Scenario Outline: No further crash: <what>
    When evidence on a request arrives, by the second: <evidence>
    Then at <at> s the verdict is <kind>, with a retry after <retry> s

    Examples: "row a 4": a row that dates the crash of a at 4 s
      | what                                      | evidence                                                             | at | kind | retry |
      | a late row with crashes before a response | 0 crash a, 1 crash b, 1.5 crash c, 2 response, 6 row a 4 b 4.5 c 5.5 | 6  | free | 0     |
      | a late report of a retracted crash        | 0 crash a, 1 crash b, 2 crash c, 3 retracted c 2, 5 reported c 4     | 5  | free | 0     |
      | a crash reported with two start times     | 0 crash a1, 0.01 reported a2 0.01, 1 crash b1                        | 1  | free | 0     |
