Feature: P10: an approved change is in force everywhere and never reverts

  Scenario: Changes propagate while balancers restart and messages are lost
    Given 24 balancers in 3 zones
    And control messages are lost, delayed and duplicated
    When change 1 is approved
    And every fourth balancer is killed and restarted
    And the change log runs for 7 seconds
    Then every balancer has change 1
    When change 2 is approved
    And the change log runs for 7 seconds
    Then every balancer has change 2

  Scenario: Balancers restart while the platform is down
    Given 24 balancers in 3 zones
    When change 1 is approved
    And the change log runs for 7 seconds
    And the platform of the change log goes down
    And every fourth balancer is killed and restarted
    And the change log runs for 7 seconds
    Then every balancer has change 1

  Scenario: A change propagates without gossip
    Given 24 balancers in 3 zones
    And the gossip mechanism is disabled
    When change 1 is approved
    And the change log runs for 7 seconds
    Then not every balancer has change 1

  Scenario: Two operators race and an answer from the platform is lost
    When two operators approve different changes and an answer is lost
    Then both changes are in force and each operator gets the number of its change

  Scenario: Two operators race without create-if-absent
    Given the create-if-absent mechanism is disabled
    When two operators approve different changes and an answer is lost
    Then a change is lost or an operator gets a wrong result

  Scenario: Two operators race without reading back
    Given the reading back mechanism is disabled
    When two operators approve different changes and an answer is lost
    Then a change is lost or an operator gets a wrong result
