Feature: Accepted jobs are read to their end, whatever the store and the instances do

  # Randomized simulations of three instances, each determined by its seed: the store is
  # away or silent, loses responses, applies writes late or drops its history; instances
  # are killed and restart. Afterwards each accepted job must be readable to its last
  # position, and only a job whose cancellation was requested may have cancelled items.
  Scenario Outline: Simulations with seeds <first> to <last>
    Then in simulations <first> to <last> every accepted job is read to its end

    Examples: 4 of the first 10 fail without the row that a cancellation writes
      | first | last |
      | 0     | 19   |
      | 20    | 39   |
