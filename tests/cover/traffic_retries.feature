Feature: Next step for a request that was not served

  Scenario Outline: A request is sent again only if it was not executed or is idempotent
    Given a request that is <kind> and was sent to <sent> of 2 targets
    When its attempt ends with <verdict>
    Then the next step is <step>

    Examples:
      | kind       | sent | verdict                      | step        |
      | idempotent | 0    | not-run queue-full           | ask another |
      | unsafe     | 0    | not-run queue-full           | ask another |
      | unsafe     | 0    | not-run draining             | ask another |
      | unsafe     | 1    | not-run target-shed          | retry       |
      | unsafe     | 1    | may-have-run target-broke    | give up     |
      | unsafe     | 1    | may-have-run owner-lost      | give up     |
      | idempotent | 1    | may-have-run owner-lost      | retry       |
      | idempotent | 2    | may-have-run owner-lost      | give up     |
      | idempotent | 1    | may-have-run target-timeout  | give up     |
      | idempotent | 0    | not-run deadline-passed      | give up     |
      | idempotent | 1    | ran served                   | retry       |
      | unsafe     | 1    | ran served                   | give up     |

  Scenario: Failures that all targets share are not retried
    Given a service whose last 30 answers were failures
    And a request that is idempotent and was sent to 1 of 2 targets
    When its attempt ends with ran served
    Then the next step is give up

  Scenario: All nodes together stay within the retry budget of a service
    Then 9 nodes with 400 requests each spend at most 776 retries with ratio 0.2 and allowance 56

  Scenario Outline: No window of a random load has more retries than the fleet's budget
    Then in <count> random loads on <nodes> nodes no window has more retries and calls of repeated executions than ratio 0.2 and allowance <allowance> allow

    Examples:
      | count | nodes | allowance |
      | 30    | 9     | 56        |
      | 8     | 75    | 192       |
      | 3     | 195   | 430       |

  Scenario: Nodes get retries in proportion to their requests, also in a large fleet
    Given one of 195 nodes, which gets 20 requests a second
    Then it can make 8 to 14 retries at once

  Scenario: A node without requests gets only its part of the allowance
    Given one of 195 nodes, which gets 0 requests a second
    Then it can make 1 to 2 retries at once

  Scenario: Urgent requests have priority when the retry budget is used up
    Given one of 75 nodes, which gets 20 requests a second
    When urgent requests have used up the retries
    Then for 6 s urgent requests get all earned retries
    And 3 s after the last of them less urgent ones get a retry
