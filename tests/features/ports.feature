Feature: Plays of the tests do not disturb each other

  # Two plays that were given the same shard took each other's ports: `ran 2 times`,
  # `AddressInUse`, `404 after it was accepted`.
  Scenario: A second play is given a shard that is held
    Given a play that holds a shard
    When a second play is given the same shard
    Then the second play ends with an error that names the first one and the remedy

  Scenario: Plays without a shard, side by side
    Given a play that holds a shard
    When 3 more plays start without a shard
    Then each play has a shard of its own, and no port is of two shards

  Scenario: A play is killed, and a process that it started goes on
    Given a play that holds a shard, with a process that it started
    When the play is killed
    Then a second play may be given the same shard

  Scenario: A second suite starts beside another
    Given a suite that holds the shards 0 to 5
    When a second suite starts
    Then the processes of the second suite are given no shard
    And a suite that starts after the end of the first is given the shards 0 to 5

  # A gateway that is killed leaves its ports free until it starts again.
  Scenario Outline: A process of another play takes the <use> port of a dead <process>
    Given 1 gateways and 1 runners, none of whose ports others hold
    When the <process> is killed and another process listens at its <use> port
    Then the fleet tells that its <use> port is held by another
    And the fleet tells so after the other process has left, too

    Examples: ports
      | process   | use       |
      | gateway-1 | front     |
      | gateway-1 | readiness |
      | gateway-1 | control   |
      | runner-1  | http      |

  Scenario: A gateway is paused, killed and started again
    Given 1 gateways and 1 runners, none of whose ports others hold
    When the gateway is paused for a while, killed and started again
    Then the fleet tells of no other process

  Scenario Outline: A gateway is told the address of another fleet, of <name>
    Given two fleets with gateways of other names, of <name>
    When the second fleet's gateway is told the address of the first one's
    Then the gateways <do> each other

    Examples: the second row shows that the first one's check would find it
      | name             | do          |
      | names of its own | do not hear |
      | the same name    | hear        |

  Scenario Outline: A gateway reaches the store at <address>, <told>
    Given a gateway reaches the store at <address>, <told>
    Then its fleet's name is <name>

    Examples: names
      | address               | told                             | name                 |
      | 10.0.0.1:80           | its fleet's name is not told     | fleet at 10.0.0.1:80 |
      | 10.0.0.1:80/from/here | its fleet's name is not told     | fleet at 10.0.0.1:80 |
      | 10.0.0.1:80/from/here | its fleet's name is told as menus | menus               |
