Feature: P7: a non-idempotent request runs at most once

  Scenario: Keys are repeated while an agent is killed
    Given 4 agents
    And lists reach the balancers 700 ms apart
    And datagrams are late and repeated
    When 20 keys are sent 2 times each by other flows
    And agent agent-1 is killed
    And 20 keys are sent 3 times each by other flows
    And 5 seconds pass
    Then no key ran twice
    And no refusal is false

  Scenario: The lease of a paused agent lapses and it wakes
    Given 4 agents
    When requests take 3000 ms
    And 8 keys are sent 1 times each by other flows
    And agent agent-2 is paused
    And 5 seconds pass
    And 8 keys are sent 2 times each by other flows
    And agent agent-2 wakes
    And 8 keys are sent 2 times each by other flows
    And 9 seconds pass
    Then no key ran twice
    And no refusal is false

  Scenario: Keys are repeated without claims
    Given the site lacks claims
    And 4 agents
    When 20 keys are sent 3 times each by other flows
    Then keys ran twice
