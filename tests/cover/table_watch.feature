Feature: Following a table of the platform's store

  Scenario: Nodes that start together learn of each other though they don't follow
    Given a node that does not follow the store
    When another row is written 0.1 s after its first read
    And its own row is written
    Then it has taken the row within 0.1 s
    And it has read the table once and its changes once

  Scenario: A node that does not follow the store tries again to catch up
    Given a node that does not follow the store
    And the first 2 calls of the feed fail
    When another row is written 0.1 s after its first read
    And its own row is written
    Then it has taken the row within 2 s
    And it has read the table once and its changes 3 times

  Scenario: A node whose row was there reads the table once
    Given a node that does not follow the store
    When another row is written 0.1 s after its first read
    Then it has read the table once and its changes 0 times

  Scenario Outline: Of nodes that start together each is found by all others
    Given <count> nodes whose first reads all come before the first write
    When they start together
    Then within 0.5 s each of them knows all others or was greeted by them
    And each of them has made at most 3 calls about nodes by then

    Examples:
      | count |
      | 2     |
      | 40    |

  Scenario: Nodes of a fleet that starts for the first time write, then read
    Given 40 nodes of a fleet that starts for the first time
    When they start together
    Then within 0.5 s each of them knows all others or was greeted by them
    And each of them has made at most 2 calls about nodes by then

  Scenario: Nodes that start together don't all follow the store meanwhile
    Given 40 nodes whose first reads all come before the first write
    When they start together
    And they run for 2 s
    Then at most 4 of them follow the table
