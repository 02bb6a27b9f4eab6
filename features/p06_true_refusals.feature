Feature: P6: a refusal that says did-not-run is true

  Scenario: Keys are repeated at cold agents while one is paused
    Given 3 agents at cold rate 2 and full rate 2
    And datagrams are late and repeated
    When 30 keys are sent 3 times each by other flows
    And agent agent-1 is paused
    And 30 keys are sent 2 times each by other flows
    And 4 seconds pass
    And agent agent-1 wakes
    And 30 keys are sent 3 times each by other flows
    Then no refusal is false
    And no key ran twice

  Scenario: Targets refuse and a copy comes to another agent later
    Given 3 agents
    And datagrams are late and repeated
    When the targets refuse what they get
    And 10 keys are sent 1 times each by other flows
    And the targets serve again
    And agent agent-1 is paused
    And 10 keys are sent 3 times each by other flows
    And 5 seconds pass
    Then requests were refused and every refusal is true

  Scenario: The same without a claim before the refusal
    Given the site lacks claimed refusal
    And 3 agents at cold rate 2 and full rate 2
    When 30 keys are sent 6 times each by other flows
    Then refusals are false
