Feature: P1: established flows survive planned changes

  Scenario: An agent drains while another joins and a balancer is killed
    Given 3 agents
    And 24 open feeds
    And lists reach the balancers 700 ms apart
    And datagrams are late and repeated
    When agent agent-1 drains
    And a balancer is killed
    And agent new joins in muscat-b
    And 12 seconds pass
    And each feed asks again
    And agent agent-1 has left
    Then no feed is broken

  Scenario: An agent drains while the platform is down
    Given 3 agents
    And 24 open feeds
    When the platform goes down
    And agent agent-1 drains
    And 12 seconds pass
    And each feed asks again
    Then no feed is broken

  Scenario: An agent drains without handover
    Given the site lacks handover
    And 3 agents
    And 24 open feeds
    When agent agent-1 drains
    And agent agent-1 has left
    Then feeds are broken

  Scenario: An agent joins without inquiry
    Given the site lacks inquiry
    And 3 agents
    And 24 open feeds
    When agent new joins in muscat-b
    And 5 seconds pass
    And each feed asks again
    Then feeds are broken
