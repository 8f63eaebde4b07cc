@shared_fleet @data_centres.2 @copies.1
Feature: One layer retries, through processes

  Scenario: A call is tried again from the share that calls have earned
    When a caller reads "desk" 30 times through "feed-bergen-1"
    Given the target of "desk-bergen-1" loses 1 answer
    When a caller reads "desk" through "feed-bergen-1"
    Then the verdict is "ran" with reason "served"
    And the targets of "desk" got 2 requests for it
    And the counter "guavawing_retries_total" of "feed-bergen-1" with reason "target-broke" is above 0

  Scenario: A service breaks off after its own call was given up
    When a caller reads "desk" 30 times through "feed-bergen-1"
    Given the targets of "desk" lose 5 answers each
    And the targets of "feed" lose 5 answers each
    When a target of "desk" that was called through "feed-bergen-1" calls "feed" through "desk-bergen-1"
    Then the verdict is "may-have-run" with reason "target-broke"
    And the header "Guavawing-Budget-Spent" is "1"
    And the targets of "desk" got 1 requests for it
