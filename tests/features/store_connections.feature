Feature: Connections to the store that are dead are told from a store that is slow

  Scenario Outline: A call for <what> that waits for <waited> s <is>
    Given answers of the store took <took> s of late
    When <later> call that began later was answered
    Then a call for <what> that waits for <waited> s <is>

    Examples: an answer takes some 10 ms, 0.25 to 0.5 s from a slow store, 1.5 s for an object
      | what   | took | later | waited | is                     |
      | rows   | 0.01 | a     | 0.29   | may still be answered  |
      | rows   | 0.01 | a     | 0.31   | has a dead connection  |
      | rows   | 0.01 | no    | 1.9    | may still be answered  |
      | object | 0.01 | a     | 0.8    | may still be answered  |
      | object | 0.01 | a     | 0.91   | has a dead connection  |
      | rows   | 0.25 | a     | 0.5    | may still be answered  |
      | rows   | 0.5  | a     | 1.5    | may still be answered  |
      | object | 0.5  | a     | 1.9    | may still be answered  |

  # The kernel tells of a connection whose bytes go nowhere. A network that swallows them
  # needs more rights than a test has; a receiver that takes none is held to the same time.
  Scenario: A connection whose bytes nobody takes is given up by the kernel
    Given a store that accepts connections and reads nothing
    When a change of 4 MB is sent to it
    Then it is unknown within 1.5 s whether the change was made
    And connections were dropped as broken

  Scenario: A store that answers nobody is asked hardly more often than calls are made
    Given a store that reads calls and answers none
    When 5 reads are made of it at once, again and again for 6 s
    Then at most 3 connections more were opened than reads were made
