Feature: P5: a caller gets the answer to its own request

  Scenario: Answers arrive in reverse order, delayed and duplicated
    Given 3 agents
    And datagrams are delayed and duplicated
    When two requests of one flow are answered in reverse order
    Then each caller has its own answer

  Scenario: The same without matching of answers to requests
    Given the matching mechanism is disabled
    And 3 agents
    When two requests of one flow are answered in reverse order
    Then a caller has the answer of another request
