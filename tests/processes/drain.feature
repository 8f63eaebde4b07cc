@shared_fleet @data_centres.1 @copies.2
Feature: A planned stop cuts no call and loses none

  Scenario: A drained target gets no new work and is taken back later
    Given callers send 40 calls of 200 ms a second to "desk" through "feed-bergen-1"
    When an operator drains "desk-bergen-1"
    Then after 3 s the target of "desk-bergen-1" gets no new work for 2 s
    When an operator ends the drain of "desk-bergen-1"
    Then within 3 s the target of "desk-bergen-1" gets new work
    And when the callers stop every call was run once

  Scenario: A node that gets SIGTERM finishes what runs and ends with code 0
    When 6 calls of 2500 ms to "desk" run and "desk-bergen-1" gets SIGTERM
    Then every one of these calls is run
    And "desk-bergen-1" ends with exit code 0
    And "desk-bergen-1" is started again

  Scenario: A node that gets SIGTERM waits for a slow reader
    When a caller reads 60000000 bytes slowly through "feed-bergen-1", which gets SIGTERM
    Then "feed-bergen-1" ends with exit code 0
    And "feed-bergen-1" is started again

  Scenario: Every node is restarted in turn under load
    Given callers send 150 calls of 50 ms a second to "desk"
    When every node is restarted in turn
    Then every node ended with exit code 0
    And when the callers stop every call was run once
