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
