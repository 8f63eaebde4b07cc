Feature: Waiting for a version polls the whole fleet within its time-out

  Scenario: The list of the fleet is requested from one node only
    Given 200 nodes of which 3 never answer
    When the operator waits for their version for 19 s
    Then the exit code is 0
    And 197 nodes enforce it, 3 don't answer and 0 were not reached
    And 1 list of the fleet was requested

  Scenario: More silent nodes than can be polled in time
    Given 1300 nodes of which 1200 never answer
    When the operator waits for their version for 0 s
    Then the exit code is 7
    And standard error is one line with "not reached" and "config wait"
    And every node is listed once, and some were not reached

  Scenario: A node is retried once before it counts as silent
    Given 40 nodes that answer only the second request
    When the operator waits for their version for 19 s
    Then the exit code is 0
    And 40 nodes enforce it, 0 don't answer and 0 were not reached
