Feature: P9: a planned stop aborts no request in progress

  Scenario: An agent leaves during long requests while another is killed
    Given 4 agents
    When requests take 6000 ms
    And 6 keys are sent 1 times each from different flows
    And agent agent-1 drains
    And a balancer is killed
    And 4 seconds pass
    And each key is sent again from its first flow
    And agent agent-1 finishes draining and exits
    And 9 seconds pass
    Then every request that ran was answered

  Scenario: The same without waiting for requests in progress
    Given the wait for requests mechanism is disabled
    And 4 agents
    When requests take 6000 ms
    And 12 keys are sent 1 times each from different flows
    And agent agent-1 drains
    And agent agent-1 finishes draining and exits
    And 9 seconds pass
    Then some requests that ran were not answered
