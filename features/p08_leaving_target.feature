Feature: P8: a leaving target gets no new work

  Scenario: An agent drains while balancers learn late and the platform is down
    Given 3 agents
    And lists reach the balancers 2000 ms apart
    When 20 requests a second come for 2 seconds
    And the platform goes down
    And agent agent-1 drains
    And 20 requests a second come for 7 seconds
    Then agent-1 got no new work after 3 seconds

  Scenario: The same without the agent's own notice of the leave
    Given the site lacks leave notice
    And 3 agents
    When agent agent-1 drains
    And 20 requests a second come for 7 seconds
    Then agent-1 got new work after 3 seconds
