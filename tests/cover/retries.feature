Feature: Retries stay within a ratio of the current traffic

  Scenario Outline: A failing leaf at the end of a chain
    Given a chain of <depth> services whose leaf fails <failing> % of calls
    When <calls> calls are offered
    Then the leaf got at most 1.2 attempts for each call

    Examples:
      | depth | failing | calls |
      | 18    | 100     | 1     |
      | 18    | 100     | 9     |
      | 18    | 100     | 50    |
      | 18    | 100     | 2000  |
      | 18    | 30      | 2000  |
      | 1     | 100     | 5     |

  Scenario: Retries multiply when services hide the budget-spent flag
    Given a chain of 18 services that hide the budget-spent flag
    When 2000 calls are offered
    Then the leaf got more than 4 attempts for each call

  Scenario: The retry ratio holds from the first call on
    Then 300 random sequences of calls spend at most the retry ratio

  Scenario: Redirects are bounded for each call
    When every owner refuses a call as "draining"
    Then after 8 redirects the call ends with the budget spent
