Feature: Service goes on beside a frozen agent

  Scenario: An agent is paused while the platform is down
    Given 3 agents
    When the platform goes down
    And agent agent-1 is paused
    And 2 seconds pass
    And 20 requests a second come for 10 seconds
    Then 75 percent of the requests were answered

  Scenario: An agent is paused without suspicion
    Given the site lacks suspicion
    And 3 agents
    When the platform goes down
    And agent agent-1 is paused
    And 2 seconds pass
    And 20 requests a second come for 10 seconds
    Then less than 75 percent of the requests were answered
