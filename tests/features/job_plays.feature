Feature: Accepted jobs are read to their end, whatever the store and the instances do

  # A play is drawn whole from its seed: three instances, a store that is away, silent,
  # loses answers, takes effect late or drops its history, instances that are killed and
  # start again, jobs that are submitted and ended. After all has healed each accepted job
  # must be read to its last position, and only one whose end was asked has cancelled items.
  Scenario Outline: Plays <first> to <last>
    Then in plays <first> to <last> every accepted job is read to its end

    Examples: without the row that an end writes, 4 of the first 10 plays fail
      | first | last |
      | 0     | 19   |
      | 20    | 39   |
