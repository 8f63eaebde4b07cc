Feature: What a roll-out allows entry nodes and owners

  Background:
    Given owners of "desk" with the releases "v1 v1 v2 v2"

  Scenario: The new release gets its share, and a retry goes to the old one
    Given the state of order 1 to "v2" with share 0.3
    Then 30 of 100 requests may use the new targets
    And a request that a new target has failed uses "v1 v1"

  Scenario Outline: A share that is not confirmed ends, closing does not
    Given the state of order 1 to "v2" with <state>
    When it was confirmed <age> s ago
    Then a request uses "<releases>" first

    Examples:
      | state     | age | releases |
      | share 1.0 | 1.9 | v2 v2    |
      | share 1.0 | 2.1 | v1 v1    |
      | closing   | 9   | v2 v2    |
      | completed | 9   | v2 v2    |
      | rolled_back | 1 | v1 v1    |

  Scenario Outline: Owners refuse what the roll-out does not allow
    Given the state of order 1 to "v2" with <state>
    Then an owner with "<release>" <admits> an attempt for "<asked>"

    Examples:
      | state       | release | asked | admits  |
      | share 0.3   | v2      | v2    | admits  |
      | share 0.3   | v2      |       | refuses |
      | share 0.3   | v1      |       | admits  |
      | share 0.3   | v1      | v2    | refuses |
      | halted      | v2      | v2    | refuses |
      | halted      | v1      |       | admits  |
      | closing     | v1      |       | refuses |
      | closing     | v2      | v2    | admits  |
      | completed   | v1      |       | refuses |
      | rolled_back | v2      | v2    | refuses |
      | rolled_back | v1      |       | admits  |

  Scenario: A target of unknown release gets nothing while a roll-out runs
    Given owners of "desk" with the releases "v1 ? v2"
    And the state of order 1 to "v2" with share 0.0
    Then a request uses "v1" first

  Scenario: No old target is known by its release, so unknown ones are asked
    Given owners of "desk" with the releases "? ? v2 v2"
    And the state of order 1 to "v2" with share 0.0
    Then a request uses targets of unknown release before those of "v2"

  Scenario: A release that appears without an order is used after 3 s
    Given owners of "desk" with the releases "v1 v1"
    When owners of "desk" have the releases "v1 v2"
    Then a request uses "v1" first
    And 3.1 s later a request uses "v1 v2" first

  Scenario: Releases of targets that start together are all used
    Then a request uses "v1 v1 v2 v2" first

  Scenario Outline: The state that was decided later wins
    Given the state of order 1 to "v2" with share 0.3
    When a state of order <order>, era <era>, version <version> arrives
    Then it is <result>

    Examples:
      | order | era | version | result  |
      | 1     | 1   | 4       | ignored |
      | 1     | 1   | 6       | adopted |
      | 2     | 1   | 0       | adopted |
      | 1     | 2   | 0       | adopted |
      | 3     | 0   | 9       | ignored |

  Scenario: After a verdict, targets of unknown release are used again
    Given owners of "desk" with the releases "? ?"
    And the state of order 1 to "v2" with rolled_back
    Then a request uses "" first
    And 11 s later a request may use "? ?"

  Scenario: An order that a node finds at its start does not bind it
    Given the state of order 1 to "v2" with share 0.3
    But the node has found the order at its start
    Then a request uses "v1 v1 v2 v2" first
    When a state of order 1, era 1, version 6 arrives
    Then a request that a new target has failed uses "v1 v1"

  Scenario: A withdrawn share stays withdrawn for its order
    Given the state of order 1 to "v2" with halted
    When a state of order 1, era 1, version 6 arrives
    Then a request uses "v1 v1" first
    When a state of order 2, era 1, version 7 arrives
    And it was confirmed 0 s ago
    Then 30 of 100 requests may use the new targets

  Scenario: Datagrams of roll-outs survive their encoding
    Given the state of order 1 to "v2" with share 0.3
    Then its datagram and that of counts are decoded to the same
    And datagrams that are cut short are reported as unreadable
