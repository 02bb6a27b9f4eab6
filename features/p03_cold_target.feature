Feature: P3: a target that has just started is not overloaded

  Scenario: A target starts while another agent is killed
    Given 2 agents with cold rate 3 and full rate 40
    When agent new joins in sohar-a
    And agent agent-1 is killed
    And 40 requests per second are sent for 6 seconds
    Then new was never overloaded

  Scenario: A target becomes cold again while another is paused
    Given 2 agents with cold rate 3 and full rate 40
    When 10 requests per second are sent for 20 seconds
    And agent agent-1 is paused
    And the target of agent-0 becomes cold again
    And 40 requests per second are sent for 3 seconds
    Then agent-0 was never overloaded

  Scenario: A target starts without warm-up
    Given the warm-up mechanism is disabled
    And 2 agents with cold rate 3 and full rate 40
    When agent new joins in sohar-a
    And agent agent-1 is killed
    And 40 requests per second are sent for 6 seconds
    Then new was overloaded
