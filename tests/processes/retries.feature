@shared_fleet @data_centres.2 @copies.1
Feature: Only one layer retries, with nodes as processes

  Scenario: A call is retried from the budget that earlier calls have earned
    When a caller reads "desk" 30 times through "feed-bergen-1"
    Given the target of "desk-bergen-1" drops 1 answer
    When a caller reads "desk" through "feed-bergen-1"
    Then the verdict is "ran" with reason "served"
    And the targets of "desk" got 2 requests for it
    And the counter "guavawing_retries_total" of "feed-bergen-1" with reason "target-broke" is above 0

  Scenario: A call is not retried after a nested call of its target was given up
    When a caller reads "desk" 30 times through "feed-bergen-1"
    Given the targets of "desk" drop 5 answers each
    And the targets of "feed" drop 5 answers each
    When a target of "desk" that was called through "feed-bergen-1" calls "feed" through "desk-bergen-1"
    Then the verdict is "may-have-run" with reason "target-broke"
    And the header "Guavawing-Budget-Spent" is "1"
    And the targets of "desk" got 1 requests for it
