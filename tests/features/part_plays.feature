Feature: A part of prompts that ends upstreams is found in drawn courses

  One to three parts end each upstream that answers on them, at any place but the last;
  upstreams come back after 2 s, and a rack of them may end at one moment.

  # Guards against upstreams that end one after the other under requests of one kind.
  Scenario: Parts that end upstreams, in a small fleet
    When 16 courses of parts are played from seed 0, at 3 instances
    Then in each, at most 3 upstreams end under a part later than 3 s after the fifth
    And in each, sound requests are served at once at least half as often as before

  # Guards against instances that all answer each late word of an end that is cleared. Three
  # words tell an end, one each that two shared parts and requests were answered on since.
  Scenario: What is told of parts that end upstreams stays in proportion
    When 3 courses of parts are played from seed 0, at 12 instances
    Then in each, every instance tells the others at most 6 times for each end

  Scenario: Courses of parts find evidence that is kept by whole requests
    When 4 courses of parts are played from seed 0, at 3 instances that read no parts
    Then in all, more than 3 upstreams end under a part later than 3 s after the fifth
