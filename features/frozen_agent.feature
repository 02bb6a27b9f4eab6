Feature: Most requests are answered while one agent is paused

  Scenario: An agent is paused while the platform is down
    Given 3 agents
    When the platform goes down
    And agent agent-1 is paused
    And 2 seconds pass
    And 20 requests per second are sent for 10 seconds
    Then 75 percent of the requests were answered

  Scenario: An agent is paused without suspicion of silent agents
    Given the suspicion mechanism is disabled
    And 3 agents
    When the platform goes down
    And agent agent-1 is paused
    And 2 seconds pass
    And 20 requests per second are sent for 10 seconds
    Then less than 75 percent of the requests were answered
