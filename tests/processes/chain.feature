Feature: Retries through a deep chain of services, as processes

  Scenario Outline: A failing leaf 18 layers deep, below services that <failure>
    Given a chain of 18 services as processes that <failure> when their calls fail
    When 100 calls are offered to these processes
    Then the leaf got at most 1.2 attempts for each call
    And the leaf got more than 1 attempts for each call

    Examples:
      | failure |
      | answer  |
      | drop    |

  Scenario: Alternating pairs of services that answer and that drop the connection
    Given a chain of 18 services as processes that answer, answer, drop, drop when their calls fail
    When 100 calls are offered to these processes
    Then the leaf got at most 1.2 attempts for each call
    And the leaf got more than 1 attempts for each call
