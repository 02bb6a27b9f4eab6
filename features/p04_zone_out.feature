Feature: P4: a zone taken out gets no packets

  Scenario: A zone is taken out while balancers learn late and one is killed
    Given 3 agents
    And lists reach the balancers 4000 ms apart
    And datagrams are late and repeated
    When 20 requests a second come for 2 seconds
    And zone muscat-b is taken out
    And a balancer is killed
    And 20 requests a second come for 12 seconds
    Then nothing ran in the zone after 3 seconds

  Scenario: The zone returns
    Given 3 agents
    When zone muscat-b is taken out
    And 5 seconds pass
    And zone muscat-b is taken in
    And 20 requests a second come for 5 seconds
    Then requests ran in the zone after 3 seconds
    And 90 percent of the requests were answered

  Scenario: The same without the check of the zone at agents
    Given the site lacks zone check
    And 3 agents
    And lists reach the balancers 4000 ms apart
    When zone muscat-b is taken out
    And 20 requests a second come for 8 seconds
    Then requests ran in the zone after 3 seconds
