Feature: P7: a non-idempotent request runs at most once

  Scenario: Keys are sent again while an agent is killed
    Given 4 agents
    And each balancer receives lists 700 ms later than the one before
    And datagrams are delayed and duplicated
    When 20 keys are sent 2 times each from different flows
    And agent agent-1 is killed
    And 20 keys are sent 3 times each from different flows
    And 5 seconds pass
    Then no key ran twice
    And no did-not-run refusal is false

  Scenario: The lease of a paused agent expires before it resumes
    Given 4 agents
    When requests take 3000 ms
    And 8 keys are sent 1 times each from different flows
    And agent agent-2 is paused
    And 5 seconds pass
    And 8 keys are sent 2 times each from different flows
    And agent agent-2 resumes
    And 8 keys are sent 2 times each from different flows
    And 9 seconds pass
    Then no key ran twice
    And no did-not-run refusal is false

  Scenario: Keys are sent again without claims
    Given the claims mechanism is disabled
    And 4 agents
    When 20 keys are sent 3 times each from different flows
    Then keys ran twice
