Feature: P8: a draining target gets no new requests

  Scenario: An agent drains while balancers receive lists late and the platform is down
    Given 3 agents
    And each balancer receives lists 2000 ms later than the one before
    When 20 requests per second are sent for 2 seconds
    And the platform goes down
    And agent agent-1 drains
    And 20 requests per second are sent for 7 seconds
    Then agent-1 started no request after 3 seconds

  Scenario: The same without the agent's notice that it is draining
    Given the leave notice mechanism is disabled
    And 3 agents
    When agent agent-1 drains
    And 20 requests per second are sent for 7 seconds
    Then agent-1 started requests after 3 seconds
