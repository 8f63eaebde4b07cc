Feature: Every answer and every error states whether the request may have run

  Scenario: Every verdict and reason reaches a caller
    Then the response for each verdict and reason names both

  Scenario: Every verdict passes between nodes unchanged
    Then 300 random verdicts are unchanged by a frame
    And a retry delay of each whole number of milliseconds below 5000 is kept

  Scenario: A target cannot set the node's verdict
    When a target answers with the headers of another call's verdict
    Then the response has one verdict, "ran" with reason "served"

  Scenario: The time left and the depth are passed on
    Given a call at depth 7 with a deadline at 12.5 s
    Then a target that gets it at 12.25 s receives 250 ms and depth 7
    And a target that gets it at 12.5 s receives 1 ms and depth 7

  Scenario: A target gets the path that the caller sent and no additional headers
    When a call of "/a%2Fb;x?c=%7Bd%7D+e%2F&f=%e4" is sent to a target
    Then the request line has the path "/a%2Fb;x?c=%7Bd%7D+e%2F&f=%e4"
    And the target gets no header that neither caller nor node has set

  Scenario Outline: The decision after an attempt
    Given a retry budget with <tokens> tokens
    When an attempt of <kind> call ends with "<verdict>"
    Then the decision is "<decision>"

    Examples:
      | tokens | kind             | verdict                   | decision              |
      | 5      | an idempotent    | ran served                | give up               |
      | 5      | an idempotent    | not-run queue-full        | retry                 |
      | 0      | an idempotent    | not-run queue-full        | give up, budget spent |
      | 0      | an idempotent    | not-run draining          | redirect              |
      | 5      | an idempotent    | may-have-run target-broke | retry                 |
      | 5      | an idempotent    | may-have-run budget-spent | give up, budget spent |
      | 5      | a non-idempotent | may-have-run target-broke | give up, budget spent |
      | 5      | a non-idempotent | not-run queue-full        | retry                 |
      | 5      | an idempotent    | not-run permanently       | give up, budget spent |
