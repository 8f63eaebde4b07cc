@shared_fleet @data_centres.1 @copies.2
Feature: A planned stop interrupts no call and loses none

  Background:
    Given every node runs and accepts calls

  Scenario: A drained target receives no new calls until it is undrained
    Given callers send 40 calls of 200 ms per second to "desk" through "feed-bergen-1"
    When an operator drains "desk-bergen-1"
    And 3 s elapse
    Then for 2 s the target of "desk-bergen-1" receives no new calls
    When an operator undrains "desk-bergen-1"
    Then within 3 s the target of "desk-bergen-1" receives new calls
    And when the callers stop, every call has run once

  Scenario: A node that gets SIGTERM completes its running calls and exits with code 0
    When 6 reads with a deadline of 9000 ms and 5000 ms of work are started through "desk-bergen-2, feed-bergen-1, desk-bergen-1"
    And 0.5 s elapse
    And node "desk-bergen-1" gets SIGTERM
    Then every verdict is "ran"
    And "desk-bergen-1" exits with code 0
    When node "desk-bergen-1" starts again and is ready
    Then within 19 s every node lists all 4 targets as available

  Scenario: A node that gets SIGTERM waits for a slow reader
    When a caller reads 60000000 bytes slowly through "feed-bergen-1", which gets SIGTERM
    Then "feed-bergen-1" exits with code 0
    When node "feed-bergen-1" starts again and is ready
    Then within 19 s every node lists all 4 targets as available

  Scenario: Every node is restarted in turn under load
    Given callers send 150 calls of 50 ms per second to "desk"
    When every node is restarted in turn, and exits with code 0
    Then when the callers stop, every call has run once

  Scenario: A planned stop answers each connection that it has accepted
    Given callers open a connection for each call of "desk" through "feed-bergen-1"
    When node "feed-bergen-1" gets SIGTERM
    Then "feed-bergen-1" exits with code 0
    And every call was answered, or refused when it connected
