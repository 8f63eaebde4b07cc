Feature: One decider carries out a roll-out

  Four nodes of two data centres on a simulated clock, with a store in memory;
  their targets have the releases v1 and v2.

  Background:
    Given nodes whose targets have the releases "v1 v2 v1 v2"

  Scenario: Few writes, one decider, nothing at old targets at the end
    When "v2" is ordered within 14 s
    And the roll-out goes on for 14 s
    Then the status is "completed" to "v2"
    And the store was written at most 8 times by one decider
    And no old target executed anything after that

  # Guards against a decision that waits as if a decider were lost.
  Scenario Outline: An order that <host> reads after it heard of it is taken up
    When the store does not answer the watch of "<host>"
    And "v2" is ordered within 14 s
    And the roll-out goes on for 0.2 s
    And the store answers the watch again
    And the roll-out goes on for 0.8 s
    Then the status is "running" to "v2"

    Examples:
      | host     |
      | 10.0.0.0 |
      | 10.0.0.1 |
      | 10.0.0.2 |
      | 10.0.0.3 |

  Scenario Outline: Orders that can't or need not be carried out
    When "<release>" is ordered within <seconds> s
    And the roll-out goes on for <passed> s
    Then the status is "<state>" to "<release>"

    Examples:
      | release | seconds | passed | state       |
      | v3      | 10      | 9.9    | rolled_back |
      | v2      | 0       | 4      | rolled_back |
      | v2      | 2       | 4      | rolled_back |

  Scenario: The release in force is completed at once
    Given nodes whose targets have the releases "v1 v1 v1 v1"
    When "v1" is ordered within 14 s
    And the roll-out goes on for 5 s
    Then the status is "completed" to "v1"
    And requests were executed all the while

  Scenario: An old target that names no release does not hold up the end
    Given nodes whose targets have the releases "v1 v2 ? v2"
    When "v2" is ordered within 14 s
    And the roll-out goes on for 14 s
    Then the status is "completed" to "v2"
    And no target of "" executed anything in the last 2 s
    And no target of "v1" executed anything in the last 2 s

  Scenario: Old owners that all restart do not complete it
    When "v2" is ordered within 14 s
    And the roll-out goes on for 4 s
    And the owners of "v1" restart and do not know their targets for 1 s
    Then the status is "running" to "v2"
    When the roll-out goes on for 9 s
    Then the status is "completed" to "v2"

  Scenario: A withdrawn order is rolled back
    When "v2" is ordered within 14 s
    And the roll-out goes on for 6 s
    And the order is withdrawn
    And the roll-out goes on for 2 s
    Then the status is "rolled_back" to "v2"

  Scenario: An order that was rolled back can be given again
    When "v2" is ordered within 14 s
    And the roll-out goes on for 6 s
    And the order is withdrawn
    And the roll-out goes on for 12 s
    And "v2" is ordered within 14 s
    And the roll-out goes on for 14 s
    Then the status is "completed" to "v2"

  Scenario: A second order takes the place of the first
    When "v2" is ordered within 14 s
    And the roll-out goes on for 6 s
    And "v1" is ordered within 14 s
    And the roll-out goes on for 14 s
    Then the status is "completed" to "v1"
    And no target of "v2" executed anything in the last 10 s
    And requests were executed all the while

  Scenario: The answers of some writes are lost
    Given the answers of writes 1, 3 and 5 are lost
    When "v2" is ordered within 14 s
    And the roll-out goes on for 14 s
    Then the status is "completed" to "v2"

  Scenario: A decider that was cut off loses its place
    When "v2" is ordered within 14 s
    And the roll-out goes on for 4 s
    And the decider is cut off for 4 s
    And the roll-out goes on for 14 s
    Then the status is "completed" to "v2"
    And the node that was cut off did not decide again

  Scenario: The store is away at the completion
    When "v2" is ordered within 14 s
    And the roll-out goes on for 10 s
    And the store of the roll-out is away for 6 s
    Then no old target executed anything in the last 5 s
    When the roll-out goes on for 3 s
    Then the status is "completed" to "v2"

  Scenario: The store comes back from an older copy
    When "v2" is ordered within 14 s
    And the store of the roll-out is copied
    And the roll-out goes on for 7 s
    And the store of the roll-out is restored
    And the roll-out goes on for 8 s
    Then the status is "completed" to "v2"

  Scenario: The store comes back from a copy that is older than the verdict
    Given the targets of "v2" fail all requests in memory
    When "v2" is ordered within 14 s
    And the store of the roll-out is copied
    And the roll-out goes on for 8 s
    Then the status is "rolled_back" to "v2"
    When the store of the roll-out is restored
    And the roll-out goes on for 5 s
    Then the status is "rolled_back" to "v2"
    And no target of "v2" executed anything in the last 5 s

  Scenario: The store comes back from a copy that is older than the order
    Given the store of the roll-out is copied
    When 100 other rows are written
    And "v2" is ordered within 14 s
    And the roll-out goes on for 7 s
    And the store of the roll-out is restored
    And the roll-out goes on for 8 s
    Then the status is "completed" to "v2"
    And the store was written at most 16 times by one decider

  Scenario: A withdrawal that the decider has not heard of reaches it
    When "v2" is ordered within 14 s
    And the roll-out goes on for 4 s
    And a node of the other data centre is cut off and hears of a withdrawal
    And the roll-out goes on for 3 s
    And the node is no longer cut off
    And the roll-out goes on for 2 s
    Then the status is "rolled_back" to "v2"

  Scenario: A node that missed an order leaves the row of that order alone
    When "v2" is ordered within 14 s
    And the roll-out goes on for 4 s
    And another node than the decider is cut off
    And the roll-out goes on for 12 s
    And "v2" is ordered within 14 s
    And the roll-out goes on for 26 s
    And the node is no longer cut off but does not follow the store yet
    And the roll-out goes on for 4 s
    Then the status is "completed" to "v2"
    And the node that was cut off did not decide again
