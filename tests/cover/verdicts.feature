Feature: Every answer and every error says whether the request may have run

  Scenario: Every verdict and reason reaches a caller
    Then the response for each verdict and reason names both

  Scenario: Every verdict passes between nodes unchanged
    Then 300 random verdicts are the same after a frame
    And a wait of each whole number of milliseconds below 5000 is kept

  Scenario: A target can't speak for the node
    When a target answers with the headers of another call's verdict
    Then the response has one verdict, "ran" with reason "served"

  Scenario: The time left and the depth are passed on
    Given a call at depth 7 with a deadline at 12.5 s
    Then a target that gets it at 12.25 s is told 250 ms and depth 7
    And a target that gets it at 12.5 s is told 1 ms and depth 7

  Scenario: A target gets what the caller sent
    When a call of "/a%2Fb;x?c=%7Bd%7D+e%2F&f=%e4" is sent to a target
    Then the request line has the path "/a%2Fb;x?c=%7Bd%7D+e%2F&f=%e4"
    And the target gets no header that neither caller nor node has set

  Scenario Outline: What follows an attempt
    Given a retry budget with <tokens> tokens
    When an attempt of <kind> call ends with "<verdict>"
    Then what follows is "<decision>"

    Examples:
      | tokens | kind           | verdict                       | decision                 |
      | 5      | an idempotent  | ran served                    | give up                  |
      | 5      | an idempotent  | not-run queue-full            | retry                    |
      | 0      | an idempotent  | not-run queue-full            | give up, budget spent    |
      | 0      | an idempotent  | not-run draining              | redirect                 |
      | 5      | an idempotent  | may-have-run target-broke     | retry                    |
      | 5      | an idempotent  | may-have-run spent            | give up, budget spent    |
      | 5      | a non-idempotent | may-have-run target-broke   | give up, budget spent    |
      | 5      | a non-idempotent | not-run queue-full          | retry                    |
      | 5      | an idempotent  | not-run for good              | give up, budget spent    |
