# A soak by schedule (seed 5007) told a gateway to read its settings again 2.6 s after its
# start, beside load, while it still loaded its modules. By default that signal ends a
# process: the gateway was gone ('exit_code': -1, no 'Starting.' in its lines).
Feature: Gateways that start

  Scenario: A gateway is told to read its settings again while it loads its modules
    Given 1 gateways and 1 runners
    When gateway-1 starts again, and is told to read its settings from its first modules on
    Then it becomes ready, has read them again, and serves a plain request
