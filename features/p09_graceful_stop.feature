Feature: P9: a planned stop cuts no request in progress

  Scenario: An agent leaves during long requests while another is killed
    Given 4 agents
    When requests take 6000 ms
    And 6 keys are sent 1 times each by other flows
    And agent agent-1 drains
    And a balancer is killed
    And 4 seconds pass
    And each key is sent again by its flow
    And agent agent-1 has left
    And 9 seconds pass
    Then every request that ran was answered

  Scenario: The same without waiting for requests in progress
    Given the site lacks wait for requests
    And 4 agents
    When requests take 6000 ms
    And 12 keys are sent 1 times each by other flows
    And agent agent-1 drains
    And agent agent-1 has left
    And 9 seconds pass
    Then requests that ran have no answer
