Feature: Following a table of the platform's store

  Scenario: Nodes that start together learn of each other though they don't follow
    Given a node that does not follow the store and catches up after 0.3 s
    When another row is written 0.1 s after its first read
    Then it has taken the row within 2 s
    And it has read the table once and its changes once

  Scenario: A node that does not follow the store tries again to catch up
    Given a node that does not follow the store and catches up after 0.3 s
    And the first 2 calls of the feed fail
    When another row is written 0.1 s after its first read
    Then it has taken the row within 2 s
    And it has read the table once and its changes 3 times
