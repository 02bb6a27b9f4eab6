Feature: P2: a packet never reaches another service

  Scenario: A target of another service takes an address while lists are late
    Given 3 agents
    And lists reach the balancers 4000 ms apart
    And datagrams are late and repeated
    When an agent of another service takes the address of agent-1
    And 30 requests come for fieldbook
    And 10 requests come for reportdesk
    Then no request reached another service

  Scenario: The same without the check of the service at agents
    Given the site lacks service check
    And 3 agents
    And lists reach the balancers 4000 ms apart
    When an agent of another service takes the address of agent-1
    And 30 requests come for fieldbook
    Then requests reached another service
