Feature: Proper work comes to its end though upstreams end again and again

  # Seen: items of accepted jobs were neither completed nor given up, and nothing worked on
  # them: 'An item is kept from running', by three ends and more, for 600 s; it was due in 18.
  # How it came about: each request that was kept back names one upstream, several times.
  Scenario Outline: <which> upstreams end <lives> s after each start, for <for> s
    Given 3 gateways and 3 runners
    And every runner is set to {"events": 60, "event_s": 0.05}
    And the gateways have been up for 2 s
    When a job of 12 items is submitted while <which> runners end <lives> s after each start, for <for> s
    Then all items are completed within 12 s, as a client sees them
    And a request that came again and again meanwhile is answered within 12 s

    Examples:
      | which | lives | for |
      | all   | 0.4   | 16  |
      | all   | 1.5   | 16  |
      | one   | 0.4   | 16  |
