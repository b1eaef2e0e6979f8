Feature: Words of an upstream's end come late and again, and the end counts once

  # Seen of a release: items were kept from running for 600 s by five ends of one upstream
  # within a second, and requests by one upstream named three to seventeen times; of 63
  # instances some had stood still. Played on that release's code, with one end of one
  # upstream and instances that stand still for 0.8 s at most, items were held back in 7
  # of 30 courses, by up to five ends; up to 1.2 s in 24 of 30; up to 17 s in all, by up
  # to 40 ends. Up to 0.4 s in none.
  # Cause there: an end was told by its age alone. Words lay unread, at hearers and at
  # tellers, and each that came 0.5 s later than all that were known counted as one more.
  Scenario Outline: <ends> ends under an item, <births>, told among <instances> instances
    Then in courses <first> to <last>, <ends> ends are held everywhere

    Examples: instances stand still for up to 17 s, owners change, rows are read late
      | instances | births      | ends | first | last |
      | 63        | births told | 1    | 0     | 1    |
      | 63        | no births   | 1    | 2     | 3    |
      | 12        | births told | 2    | 4     | 7    |
      | 12        | no births   | 2    | 8     | 11   |

  # Found by reading, and each shown here. A row places an end where its writer heard of it,
  # which may be after an answer that voided it: what an answer voided is asked of words, and
  # not of rows. What was taken back is voided by time alone, so that word of it that is
  # passed on late counts again. Two that saw one end, of whom one lists the life before,
  # tell two births.
  Scenario Outline: A proper request, and <what>, which is no end more
    When of a request it is learnt, by the second: <learnt>
    Then at <at> s it is <standing>, for <retry> s

    Examples: "row a 4": a row that places the end of a at 4 s
      | what                                | learnt                                           | at | standing | retry |
      | a row, read late, of ends before an answer | 0 end a, 1 end b, 1.5 end c, 2 answer, 6 row a 4 b 4.5 c 5.5 | 6 | free | 0 |
      | late word of what was taken back    | 0 end a, 1 end b, 2 end c, 3 lives c 2, 5 late c 4 | 5 | free   | 0     |
      | an end of which two births are told | 0 end a1, 0.01 late a2 0.01, 1 end b1            | 1  | free     | 0     |
