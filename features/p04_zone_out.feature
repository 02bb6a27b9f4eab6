Feature: P4: a zone taken out runs no requests

  Scenario: A zone is taken out while balancers receive lists late and one is killed
    Given 3 agents
    And each balancer receives lists 4000 ms later than the one before
    And datagrams are delayed and duplicated
    When 20 requests per second are sent for 2 seconds
    And zone muscat-b is taken out
    And a balancer is killed
    And 20 requests per second are sent for 12 seconds
    Then no request started in the zone after 3 seconds

  Scenario: The zone returns
    Given 3 agents
    When zone muscat-b is taken out
    And 5 seconds pass
    And zone muscat-b is taken in
    And 20 requests per second are sent for 5 seconds
    Then requests started in the zone after 3 seconds
    And 90 percent of the requests were answered

  Scenario: The same without the check of the zone at agents
    Given the zone check mechanism is disabled
    And 3 agents
    And each balancer receives lists 4000 ms later than the one before
    When zone muscat-b is taken out
    And 20 requests per second are sent for 8 seconds
    Then requests started in the zone after 3 seconds
