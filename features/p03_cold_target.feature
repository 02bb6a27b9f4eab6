Feature: P3: a target that has just started is not overloaded

  Scenario: A target starts while another agent is killed
    Given 2 agents at cold rate 3 and full rate 40
    When agent new joins in sohar-a
    And agent agent-1 is killed
    And 40 requests a second come for 6 seconds
    Then new was never overloaded

  Scenario: A target turns cold again while another is paused
    Given 2 agents at cold rate 3 and full rate 40
    When 10 requests a second come for 20 seconds
    And agent agent-1 is paused
    And the target of agent-0 is cold again
    And 40 requests a second come for 3 seconds
    Then agent-0 was never overloaded

  Scenario: A target starts without warm-up
    Given the site lacks warm-up
    And 2 agents at cold rate 3 and full rate 40
    When agent new joins in sohar-a
    And agent agent-1 is killed
    And 40 requests a second come for 6 seconds
    Then new was overloaded
