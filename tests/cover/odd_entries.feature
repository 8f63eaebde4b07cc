Feature: Odd entries of another writer

  # Guards against a node whose beacons or whose watch ends by an odd row.
  Scenario Outline: A row that names no VM is counted, and the node goes on
    Given a node that follows the table of nodes and sends beacons to a peer
    When another writer puts a row <entry> into the table
    And the row of another node is written
    Then the node knows the peer and the other node only
    And it has counted an unreadable row
    And its beacons go on

    Examples:
      | entry                     |
      | with host ::1             |
      | with an empty host        |
      | with host localhost       |
      | with host 0.0.0.0         |
      | with host 224.0.0.1       |
      | with host 255.255.255.255 |
      | with port 0               |
      | with port -1              |
      | with port 70000           |
      | with port 1099511627776   |
      | with port 1e300           |
      | with port true            |
      | nested 2000 deep          |
      | nested 900 deep           |
      | with a list as its node   |

  Scenario Outline: A beacon that names no VM is rejected
    Then a beacon of host "<host>" with port <port> is rejected

    Examples:
      | host            | port  |
      | ::1             | 7000  |
      | localhost       | 7000  |
      | 255.255.255.255 | 7000  |
      | 10.0.0.2        | 0     |
      | 10.0.0.2        | 70000 |

  # Guards against slots and times that no later calculation can hold.
  Scenario Outline: A heartbeat with a number out of range is rejected
    Then a heartbeat with <field> <value> is rejected

    Examples:
      | field           | value                |
      | slots           | -5                   |
      | slots           | 9223372036854775808  |
      | slots           | 1e300                |
      | coldRemainingMs | 9223372036854775808  |
      | sequence        | -1                   |
      | sequence        | 18446744073709551615 |
      | born            | -1                   |
      | born            | 18446744073709551615 |

  # Guards against a row of another partition taken for the configuration, with
  # a version that all later ones are below.
  Scenario Outline: Of the feed of a table only readable rows without a partition count
    When the feed has a row "config" of version 7, then <entry>
    Then the only row is "config" of version 7
    And <unreadable> entries are unreadable

    Examples:
      | entry                                      | unreadable |
      | a row "config" of partition "p" with "9"   | 0          |
      | a removed row "config" of partition "p"    | 0          |
      | a text                                     | 1          |
      | a row without a value                      | 1          |
