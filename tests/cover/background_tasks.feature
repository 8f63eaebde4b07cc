Feature: Tasks and versions that meet an unexpected error

  # Guards against beacons that end by one error.
  Scenario: Beacons go on after one that could not be sent
    Given a node that follows the table of nodes and sends beacons to a peer
    When a datagram can't be sent
    Then its beacons go on

  # Guards against a node that goes on as ready and follows nothing.
  Scenario: A background task that fails is logged, counted and started again
    When a background task fails twice
    Then it has run 3 times
    And 2 failures are counted

  # Guards against changes that are lost with the task that failed on them.
  Scenario: Changes that could not be applied are read again
    Given a watch whose listener fails once
    When a row is written to its table
    Then the listener has been given the row twice

  # Guards against a version that is recorded, but not in force.
  Scenario: A version that could not be put in force is tried again
    Given a node whose routes can't be replaced once
    When the node is given version 2 twice
    Then version 2 is in force after the second time only

  # Guards against newer versions that wait for invalid ones.
  Scenario Outline: Of versions that are read together the newest valid one counts
    Given a node that has no version
    When it reads versions <versions> together
    Then it has version <version>
    And versions <applied> have been put in force

    Examples:
      | versions    | version | applied |
      | 2 3 4       | 4       | 4       |
      | 2 3 invalid | 3       | 3       |
      | 2 invalid 4 | 4       | 4       |
