Feature: A service's order of back ends is nested

  Scenario: A back end joins
    Given a service with 7 back ends
    When an eighth back end joins
    Then the first choice of a flow changes only to the eighth
