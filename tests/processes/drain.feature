@shared_fleet @data_centres.1 @copies.2
Feature: A planned stop cuts no call and loses none

  Scenario: A drained target gets no new work and is taken back later
    Given callers send 40 calls of 200 ms a second to "desk" through "feed-bergen-1"
    When an operator drains "desk-bergen-1"
    And 3 s go by
    Then for 2 s the target of "desk-bergen-1" gets no new work
    When an operator undrains "desk-bergen-1"
    Then within 3 s the target of "desk-bergen-1" gets new work
    And when the callers stop every call was run once

  Scenario: A node that gets SIGTERM finishes what runs and ends with code 0
    When 6 reads of 9000 ms that work 5000 ms are started through "desk-bergen-2, feed-bergen-1, desk-bergen-1"
    And 0.5 s go by
    And node "desk-bergen-1" gets SIGTERM
    Then every verdict is "ran"
    And "desk-bergen-1" ends with exit code 0
    When node "desk-bergen-1" starts again and is ready
    Then within 19 s every node offers all 4 targets

  Scenario: A node that gets SIGTERM waits for a slow reader
    When a caller reads 60000000 bytes slowly through "feed-bergen-1", which gets SIGTERM
    Then "feed-bergen-1" ends with exit code 0
    When node "feed-bergen-1" starts again and is ready
    Then within 19 s every node offers all 4 targets

  Scenario: Every node is restarted in turn under load
    Given callers send 150 calls of 50 ms a second to "desk"
    When every node is restarted in turn, and ends with exit code 0
    Then when the callers stop every call was run once

  Scenario: A planned stop answers each connection that it has let in
    Given callers open a connection for each call of "desk" through "feed-bergen-1"
    When node "feed-bergen-1" gets SIGTERM
    Then "feed-bergen-1" ends with exit code 0
    And every call was answered, or turned away when it connected
