Feature: P2: a packet never reaches another service

  Scenario: A target of another service takes an address while lists are late
    Given 3 agents
    And each balancer receives lists 4000 ms later than the one before
    And datagrams are delayed and duplicated
    When an agent of another service takes the address of agent-1
    And 30 requests are sent to fieldbook
    And 10 requests are sent to reportdesk
    Then no request reached another service

  Scenario: The same without the check of the service at agents
    Given the service check mechanism is disabled
    And 3 agents
    And each balancer receives lists 4000 ms later than the one before
    When an agent of another service takes the address of agent-1
    And 30 requests are sent to fieldbook
    Then requests reached another service
