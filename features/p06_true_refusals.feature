Feature: P6: a refusal that says did-not-run is true

  Scenario: Keys are sent again to cold agents while one is paused
    Given 3 agents with cold rate 2 and full rate 2
    And datagrams are delayed and duplicated
    When 30 keys are sent 3 times each from different flows
    And agent agent-1 is paused
    And 30 keys are sent 2 times each from different flows
    And 4 seconds pass
    And agent agent-1 resumes
    And 30 keys are sent 3 times each from different flows
    Then no did-not-run refusal is false
    And no key ran twice

  Scenario: Targets refuse and a copy reaches another agent later
    Given 3 agents
    And datagrams are delayed and duplicated
    When the targets refuse all requests
    And 10 keys are sent 1 times each from different flows
    And the targets accept requests again
    And agent agent-1 is paused
    And 10 keys are sent 3 times each from different flows
    And 5 seconds pass
    Then requests were refused and every did-not-run refusal is true

  Scenario: The same without a claim before the refusal
    Given the claimed refusal mechanism is disabled
    And 3 agents with cold rate 2 and full rate 2
    When 30 keys are sent 6 times each from different flows
    Then some did-not-run refusals are false
