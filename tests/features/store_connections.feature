Feature: Connections to the store that are dead are told from a store that is slow

  Scenario Outline: A <call> that waits for <waited> s <is>, <after>
    Given answers to reads took <took> s of late
    When it begins, and then <after>
    Then a <call> that waits for <waited> s <is>

    Examples: a read takes some 10 ms, 0.25 to 0.5 s from a slow store, of an object 1.5 s
      | call        | took | waited | is                    | after                             |
      | read        | 0.01 | 0.29   | may still be answered | a later read is answered          |
      | read        | 0.01 | 0.31   | has a dead connection | a later read is answered          |
      | read        | 0.01 | 1.9    | may still be answered | nothing is answered               |
      | read        | 0.25 | 0.5    | may still be answered | a later read is answered          |
      | read        | 0.5  | 1.5    | may still be answered | a later read is answered          |
      | object read | 0.01 | 0.8    | may still be answered | a later read is answered          |
      | object read | 0.01 | 0.91   | has a dead connection | a later read is answered          |
      | object read | 0.5  | 1.9    | may still be answered | a later read is answered          |

    Examples: a change may take far longer than reads do
      | call        | took | waited | is                    | after                             |
      | change      | 0.01 | 1.9    | may still be answered | a later read is answered          |
      | change      | 0.3  | 1.9    | may still be answered | a later read is answered          |
      | change      | 0.01 | 0.29   | may still be answered | a kept connection is found dead   |
      | change      | 0.01 | 0.31   | has a dead connection | a kept connection is found dead   |

  # The kernel tells of a connection whose bytes go nowhere. A network that swallows them
  # needs more rights than a test has; a receiver that takes none is held to the same time.
  Scenario: A connection whose bytes nobody takes is given up by the kernel
    Given a store that accepts connections and reads nothing
    When a change of 4 MB is sent to it
    Then it is unknown within 1.5 s whether the change was made
    And connections were dropped as broken

  Scenario: A call of the command line to an instance that takes nothing ends soon
    Given a store that accepts connections and reads nothing
    When an RPC of 8 MB is sent to it
    Then the RPC has failed as broken within 8 s

  Scenario: A store that answers nobody is asked hardly more often than calls are made
    Given a store that reads calls and answers none
    When 5 reads are made of it at once, again and again for 6 s
    Then at most 3 connections more were opened than reads were made

  # Seen, once beside load: 20 connections opened for 15 reads. Each round of reads that
  # nobody answers was followed by further probes: a probe ends with the call that began
  # it, and the next call in doubt, which began some 0.06 s later, began another for its
  # last moments. Load spreads the reads apart; here they are so from the beginning.
  Scenario: A store that answers nobody is asked once for all reads in doubt
    Given a store that reads calls and answers none
    When 5 reads are made of it 0.06 s apart, again and again for 6 s
    Then at most 3 connections more were opened than reads were made
