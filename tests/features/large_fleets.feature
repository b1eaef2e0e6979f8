Feature: Fleets of hundreds of instances

  From some 100 instances on, live members of other zones were taken for dead every few
  seconds, with nothing wrong: the lines of the own zone filled the heartbeats.

  Scenario Outline: <members> instances in <zones> zones, <lost> in 100 messages lost
    When they exchange heartbeats for 4 s after their start
    Then no live member of any zone is taken for dead in the next 6 s
    And a member sends at most 2000 bytes a second of heartbeats to other zones

    Examples:
      | members | zones | lost |
      | 9       | 3     | 0    |
      | 9       | 3     | 10   |
      | 64      | 4     | 0    |
      | 64      | 4     | 10   |
      | 130     | 3     | 10   |
      | 195     | 5     | 0    |
      | 195     | 5     | 10   |
      | 300     | 5     | 10   |
      | 714     | 17    | 10   |

  Scenario Outline: Of <members> instances in <zones> zones <what> dies
    When they exchange heartbeats for 5 s after their start, 10 in 100 lost
    And of the fleet <what> dies
    Then their own zone knows of it after 2.5 s and all others after 4 s
    And no live member is taken for dead

    Examples:
      | members | zones | what             |
      | 64      | 4     | one member       |
      | 64      | 4     | half of a zone   |
      | 195     | 5     | one member       |
      | 195     | 5     | half of a zone   |
      | 195     | 5     | a whole zone     |
      | 300     | 5     | half of the fleet |
      | 714     | 17    | one member       |

  Scenario Outline: Of <members> instances in <zones> zones one starts again, its clock <clock> s
    When they exchange heartbeats for 5 s after their start, 10 in 100 lost
    And one member starts again 6 s after its death
    Then all take it as alive <within> s later, and it takes all others as alive

    Examples: incarnations are made of the time of day, which may have jumped
      | members | zones | clock | within |
      | 9       | 3     | +6    | 2.5    |
      | 195     | 5     | +6    | 2.5    |
      | 300     | 5     | +6    | 2.5    |
      | 9       | 3     | -2    | 4      |
      | 9       | 3     | -8000 | 4      |
      | 64      | 4     | -2    | 6      |
      | 195     | 5     | -2    | 6      |

  Scenario Outline: <instances> instances share 8 upstreams of a zone, <load> in 100 of their slots in use
    When each of <instances> instances tells two relays what it starts and ends
    Then at most <met> in 100 requests are sent to a full upstream while a slot is free
    And at most a third of the messages is sent that all would send each other

    Examples: requests of 0.55 s come to any of the instances at random
      | instances | load | met |
      | 39        | 40   | 1   |
      | 39        | 60   | 5   |
      | 20        | 60   | 5   |
      | 60        | 60   | 5   |

  Scenario Outline: A table of <rows> rows is followed, <event>
    When a table of <rows> rows is read in full, and <event>
    Then the next read of changes shows it, and <calls> calls are made for it

    Examples:
      | rows | event                              | calls |
      | 3    | a row is changed                   | 1     |
      | 3    | a row is deleted                   | 1     |
      | 3    | nothing is changed                 | 1     |
      | 700  | a row is changed                   | 1     |
      | 3    | a row is changed, the history lost | 3     |
      | 3    | another part gets a row            | 1     |

  Scenario: Changes that the platform omits for a moment show at the next full read
    When a row is changed and the platform omits the change for a moment
    Then a read of changes does not show it, and the next full read does

  Scenario: A slow read of the upstreams at a peer replaces no newer list
    When an upstream drains after a peer's read of 1.9 s began and before an instance's own
    Then the instance keeps it as draining when the peer tells its list

  Scenario Outline: <instances> instances, whose rows are alive and <heard>, read the rows every <interval> s
    When an instance among <instances> watches their rows for 30 s, <heard>
    Then it reads them <least> to <most> times

    Examples: renewals come once a second
      | instances | heard                     | interval | least | most |
      | 9         | all of them are heard     | 1        | 24    | 42   |
      | 195       | all of them are heard     | 4.9      | 4     | 10   |
      | 195       | one of them is not heard  | 1        | 24    | 42   |
      | 195       | one more of them is heard | 1        | 24    | 42   |

  Scenario Outline: An owner among <instances> instances dies while the rows are read less often
    When of <instances> instances whose rows an instance watches one dies after 12 s
    Then its jobs have no live owner <within> s later at the latest

    Examples: as long as its lease, and a read
      | instances | within |
      | 195       | 6      |
      | 300       | 6      |
