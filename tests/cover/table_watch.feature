Feature: Following a table of the platform's store

  Scenario: Nodes that start together discover each other without following the store
    Given a node that does not follow the store
    When another row is written 0.1 s after its first read
    And its own row is written
    Then it has applied the row within 0.1 s
    And it has read the table once and its changes once

  Scenario: A node that does not follow the store retries its read of the feed
    Given a node that does not follow the store
    And the first 2 calls of the feed fail
    When another row is written 0.1 s after its first read
    And its own row is written
    Then it has applied the row within 2 s
    And it has read the table once and its changes 3 times

  Scenario: A node whose row is in the table already reads it once
    Given a node that does not follow the store
    When another row is written 0.1 s after its first read
    Then it has read the table once and its changes 0 times

  Scenario Outline: Of nodes that start together each is discovered by all others
    Given <count> nodes whose first reads all come before the first write
    When they start together
    Then within 0.5 s each of them has discovered all others by rows or beacons
    And each of them has made at most 3 store calls by then

    Examples:
      | count |
      | 2     |
      | 40    |

  Scenario: At the first start of a fleet nodes write their rows, then read
    Given 40 nodes of a fleet that starts for the first time
    When they start together
    Then within 0.5 s each of them has discovered all others by rows or beacons
    And each of them has made at most 2 store calls by then

  Scenario: Nodes that start together don't all follow the store at first
    Given 40 nodes whose first reads all come before the first write
    When they start together
    And they run for 2 s
    Then at most 4 of them follow the table

  # Guards against versions that are late because all readers are silent.
  Scenario Outline: Others read in time what frozen readers can't
    Given <count> nodes of a fleet that starts for the first time
    When they start together
    And they run for <seconds> s
    And the nodes that follow the table are frozen
    And a row is written
    Then another node has read the row within 2 s

    Examples:
      | count | seconds |
      | 3     | 4.05    |
      | 4     | 4.5     |
      | 40    | 4.95    |
