Feature: P1: established flows survive planned changes

  Scenario: An agent drains while another joins and a balancer is killed
    Given 3 agents
    And 24 open feeds
    And each balancer receives lists 700 ms later than the one before
    And datagrams are delayed and duplicated
    When agent agent-1 drains
    And a balancer is killed
    And agent new joins in muscat-b
    And 12 seconds pass
    And each feed sends its request again
    And agent agent-1 finishes draining and exits
    Then no feed is broken

  Scenario: An agent drains while the platform is down
    Given 3 agents
    And 24 open feeds
    When the platform goes down
    And agent agent-1 drains
    And 12 seconds pass
    And each feed sends its request again
    Then no feed is broken

  Scenario: An agent drains without handover
    Given the handover mechanism is disabled
    And 3 agents
    And 24 open feeds
    When agent agent-1 drains
    And agent agent-1 finishes draining and exits
    Then feeds are broken

  Scenario: An agent joins without inquiry
    Given the inquiry mechanism is disabled
    And 3 agents
    And 24 open feeds
    When agent new joins in muscat-b
    And 5 seconds pass
    And each feed sends its request again
    Then feeds are broken
