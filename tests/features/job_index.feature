Feature: The index of jobs shows what the store holds, whatever becomes of its history

  # A job that the index lacks is run by nobody; one that it keeps after its deletion counts
  # as finished for ever, so that more is accepted than the quota allows.
  Scenario Outline: <event>
    When jobs are followed and <event>
    Then <look> shows just the jobs that are stored
    And only tokens of stored jobs count as finished
    And the index is <age> s old at most

    Examples:
      | event                                                            | look                         | age |
      | nothing happens                                                  | the next look                | 0.5 |
      | a job is accepted while all are read, in a part already read     | the next look                | 0.5 |
      | a job is accepted while all are read, in a part of its own       | the next look                | 0.5 |
      | a job is accepted here while all are read                        | the next look                | 0.5 |
      | the read of all breaks off after the first part                  | the look after               | 0.5 |
      | the history is lost and the read of all breaks off               | the look after               | 0.5 |
      | a job is accepted in a new part while the history is lost        | the next look                | 0.5 |
      | a job is accepted and its change omitted                         | a look 7 s later             | 0.5 |
      | a job is deleted                                                 | the next look                | 0.5 |
      | a job is deleted while the history is lost                       | the next look                | 0.5 |
      | a job is deleted and its change omitted                          | a look 7 s later             | 0.5 |
      | a job is deleted while all are read                              | the next look                | 0.5 |
      | the history is lost at each look of 10 s                         | the next look                | 0.5 |
      | a job is deleted and accepted again under its id                 | the next look                | 0.5 |
      | a job is deleted and accepted again, all of it omitted           | a look 7 s later             | 0.5 |
      | a job is deleted and accepted again while all are read           | the next look                | 0.5 |
      | a late answer shows a job after its deletion                     | a look 7 s later             | 0.5 |
      | a job of an id of another host is accepted and deleted           | a look 14 s later            | 0.5 |
      | a job of an id of another host is accepted and deleted, this omitted | a look 14 s later            | 0.5 |
      | a job of an id of another host is accepted                       | a look 7 s later             | 0.5 |
      | calls take 0.5 s and all are read                                | this look                    | 0.5 |

  Scenario Outline: A table is followed, <event>
    When a table of 3 rows is followed and <event>
    Then the next read of changes shows what is stored

    Examples:
      | event                                                       |
      | a full read breaks off after a change                       |
      | the history is lost and the read of all breaks off          |
      | the first read is a full one, and a change comes after it   |
      | the first read is a full one, and a change comes during it  |
      | a full read comes while the history is lost                 |
      | a change older than the last full read is shown after it    |

  # Rows that cannot fail prove nothing.
  Scenario Outline: With <plant> planted, <event> is not seen
    When with <plant> planted jobs are followed and <event>
    Then the look after does not show just the jobs that are stored

    Examples:
      | plant                                                          | event                                              |
      | a version taken as read before all was read, and no full reads | the history is lost and the read of all breaks off |
      | a lost history that is taken for no change                     | a job is accepted in a new part while the history is lost |
