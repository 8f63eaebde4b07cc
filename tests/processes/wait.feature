Feature: Waiting for a version asks the whole fleet within its time

  Scenario: Only one node lists the fleet
    Given 200 nodes of which 3 never answer
    When the operator waits for their version for 19 s
    Then the exit code is 0
    And 197 nodes enforce it, 3 don't answer and 0 were not reached
    And 1 list of the fleet was asked for

  Scenario: More silent nodes than can be asked in time
    Given 1300 nodes of which 1200 never answer
    When the operator waits for their version for 0 s
    Then the exit code is 7
    And standard error is one line that says "not reached" and "config wait"
    And every node is named once, and some were not reached

  Scenario: A node is given up when it was silent twice
    Given 40 nodes that answer when they are asked again
    When the operator waits for their version for 19 s
    Then the exit code is 0
    And 40 nodes enforce it, 0 don't answer and 0 were not reached
