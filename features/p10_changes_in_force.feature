Feature: P10: an approved change is in force everywhere and never reverts

  Scenario: Changes spread while balancers restart and messages are lost
    Given 24 balancers in 3 zones
    And control messages are lost, late and repeated
    When change 1 is approved
    And balancers are killed and start again
    And the change log has 7 seconds
    Then every balancer has change 1
    When change 2 is approved
    And the change log has 7 seconds
    Then every balancer has change 2

  Scenario: Balancers restart while the platform is down
    Given 24 balancers in 3 zones
    When change 1 is approved
    And the change log has 7 seconds
    And the platform of the log goes down
    And balancers are killed and start again
    And the change log has 7 seconds
    Then every balancer has change 1

  Scenario: A change spreads without gossip
    Given 24 balancers in 3 zones
    And the site lacks gossip
    When change 1 is approved
    And the change log has 7 seconds
    Then balancers lack change 1

  Scenario: Two operators race and an answer of the platform is lost
    When two operators approve different changes, answers being lost
    Then both changes are in force and each operator is told so

  Scenario: Two operators race without create-if-absent
    Given the site lacks create-if-absent
    When two operators approve different changes, answers being lost
    Then a change is lost or an operator is told wrongly

  Scenario: Two operators race without reading back
    Given the site lacks reading back
    When two operators approve different changes, answers being lost
    Then a change is lost or an operator is told wrongly
