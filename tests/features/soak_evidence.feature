Feature: A play of the soak that fails leaves what is needed to tell its cause

  # Of a failure seen once, the lines, the clients' calls and the faults were gone.
  Scenario: Another process holds a port of a gateway that starts again
    Given a soak of 4 s in which another process takes the front port of a killed gateway
    When it is played
    Then its only problem is that another process held that port
    And its file tells the play's command, commit, shard and load
    And its file tells of that port who held it
    And its file tells that the gateway was killed and when it started, each time
    And its file has the lines of the gateway from before the kill and from after it
    And its file tells what was set at the store, with times
    And its file tells each online request and each submission
    And its file has row, input and results of each accepted job
