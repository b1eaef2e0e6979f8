Feature: An owner lists each item once, and one that stops leaves its jobs to others

  # A write of an owner may take effect long after it was given up. An item that it lists
  # must not be listed again by a run of the same owner that began meanwhile.
  Scenario Outline: A commit of an earlier run of the owner takes effect while <items>
    When a commit of item 0 by an earlier run takes effect while <items>
    Then each of the items is listed once

    Examples:
      | items                     |
      | all items wait for a slot |
      | all items run             |
      | item 0 is being committed |

  # Without the word, others wait for the end of the process and then of its lease.
  Scenario Outline: An instance that stops says so, <store>
    When an instance with a job stops and <store>
    Then others know within <within> s that it is leaving

    Examples:
      | store                                           | within |
      | the store answers                               | 0.5    |
      | the answers to its release are lost             | 2.5    |
      | its release takes effect late, without answers  | 2.5    |
      | the store is away for the first second          | 2.5    |

  # An owner may know a route later than the instance that accepted its job: then its items
  # must wait, and not fail.
  Scenario Outline: A job's owner learns of its route after <known> s
    When the owner of a job learns of its route after <known> s
    Then its items are <state> within <within> s

    Examples:
      | known | state     | within |
      | 0     | completed | 3      |
      | 0.6   | completed | 4      |
      | 5     | completed | 8      |
      | 99    | failed    | 12     |
