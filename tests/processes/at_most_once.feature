@shared_fleet @data_centres.2 @copies.1
Feature: A non-idempotent call is executed at most once

  Scenario: One key at the same time through two entry nodes
    When 8 copies of each of 10 publishes with a deadline of 5000 ms and 200 ms of work are started through "feed-bergen-1, feed-voss-1"
    Then every verdict is "ran"
    And every copy of a publish has the same answer
    And every publish was executed 1 time

  Scenario: The target closes the connection without an answer
    Given the targets of "desk" drop 1 answer each
    When a caller publishes to "desk" through "feed-bergen-1" with key "lost"
    Then the verdict is "may-have-run" with reason "target-broke"
    When a caller publishes to "desk" through "feed-voss-1" with key "lost"
    Then the verdict is "may-have-run" with reason "target-broke"
    And its key was executed 1 time

  Scenario: A DELETE whose connection is dropped isn't sent again
    Given the targets of "desk" drop 1 answer each
    When a caller deletes from "desk" through "feed-bergen-1" with key "dropped"
    Then the verdict is "may-have-run" with reason "target-broke"
    And its key was executed 1 time

  Scenario: An answer that is too large to keep
    When a caller publishes to "desk" through "feed-bergen-1" with key "large" for 100000 bytes
    Then the verdict is "ran" with reason "served"
    When a caller publishes to "desk" through "feed-voss-1" with key "large" for 100000 bytes
    Then the verdict is "ran" with reason "answer-not-kept"
    And the status is 502
    And its key was executed 1 time

  Scenario: Another request with the same key
    When a caller publishes to "desk" through "feed-bergen-1" with key "reused"
    And a caller deletes from "desk" through "feed-voss-1" with key "reused"
    Then the verdict is "not-run" with reason "key-reused"
    And the status is 422
    And its key was executed 1 time

  Scenario: Keys that were requested before the platform is down can be used
    When a caller requests 200 keys of "desk" from "feed-voss-1"
    Then it gets 200 keys
    Given the platform is down
    When a caller publishes to "desk" through "feed-voss-1" with its next key
    Then the verdict is "ran" with reason "served"
    When a caller publishes to "desk" through "feed-bergen-1" with the same key
    Then the verdict is "ran" with reason "served"
    And its key was executed 1 time
    When a caller publishes to "desk" through "feed-voss-1" with key "claimed"
    Then the verdict is "not-run" with reason "key-store-unavailable"
    And the header "Retry-After" is "1"
    And its key was executed 0 times
    When the platform is up
    And a caller publishes to "desk" through "feed-voss-1" with key "claimed"
    Then the verdict is "ran" with reason "served"

  Scenario: A caller without a key repeats its call with the key that it received
    When a caller publishes to "desk" through "feed-bergen-1" without a key, with a deadline of 500 ms and 1500 ms of work
    Then the verdict is "may-have-run" because the deadline has passed
    When the caller repeats the call through "feed-voss-1" with the key that it received
    Then the verdict is "ran" with reason "served"
    And its key was executed 1 time

  Scenario: A key of another service
    When a caller requests 1 keys of "feed" from "feed-voss-1"
    And a caller publishes to "desk" through "feed-voss-1" with its next key
    Then the verdict is "not-run" with reason "wrong-owner"
    And its key was executed 0 times

  Scenario: The reply to the write of a claim is lost
    Given the platform loses 1 reply
    When a caller publishes to "desk" through "feed-bergen-1" with key "reply"
    Then the verdict is "ran" with reason "served"
    And its key was executed 1 time

  Scenario: The owner is frozen past the deadline
    Given node "desk-bergen-1" gets SIGSTOP
    When 4 publishes with a deadline of 1500 ms are started through "feed-bergen-1"
    Then every verdict is "may-have-run" with reason "deadline-passed"
    When node "desk-bergen-1" is resumed
    And 1 s elapse
    Then every publish was executed 0 times
    When the publishes are sent again through "feed-voss-1"
    Then every verdict is "ran" with reason "served"
    And every publish was executed 1 time

  Scenario: Callers disconnect while the owner is frozen
    Given node "desk-bergen-1" gets SIGSTOP
    When 4 publishes with a deadline of 15000 ms are started through "feed-bergen-1"
    And 0.5 s elapse
    And their callers disconnect
    And 0.5 s elapse
    And node "desk-bergen-1" is resumed
    And 1 s elapse
    Then every publish was executed 0 times

  Scenario: The owner is frozen until its connections time out
    Given node "desk-bergen-1" gets SIGSTOP
    When 4 publishes with a deadline of 15000 ms are started through "feed-bergen-1"
    And 4.5 s elapse
    And node "desk-bergen-1" is resumed
    Then every verdict is "ran" with reason "served"
    And every publish was executed 1 time

  Scenario: The owner is killed with calls at the target, and replaced
    When 4 publishes with a deadline of 8000 ms and 1500 ms of work are started through "feed-bergen-1"
    And 0.5 s elapse
    And node "desk-bergen-1" is killed
    Then every verdict is "may-have-run"
    When the publishes are sent again through "feed-voss-1"
    Then every verdict is "may-have-run"
    When node "desk-bergen-1" starts again and is ready
    Then within 19 s every node lists all 4 targets as available
    When the publishes are sent again through "feed-voss-1"
    Then every verdict is "may-have-run" with reason "owner-replaced"
    And every publish was executed 1 time
