Feature: A node fetches announced versions and enforces the newest valid one

  Scenario Outline: A source that gives <what> is left for another
    Given a node that enforces version 4
    When "one" announces version 5
    Then a fetch from "one" is started
    When "two" announces version 5
    Then no fetch is started
    When the fetch from "one" returns <what>
    Then a fetch from "two" is started
    And the fault "<fault>" is reported
    When the fetch from "two" returns version 5
    Then version 5 is in force

    Examples:
      | what                       | fault       |
      | a damaged version 5        | damaged     |
      | version 3                  | old-version |
      | only the id of version 5   | withheld    |
      | no answer in time          | unreachable |

  Scenario: A bad version between two good ones is kept out and passed by
    Given a node that enforces version 1
    When "one" announces a bad version 2
    Then a fetch from "one" is started
    When the fetch from "one" returns a bad version 2
    Then version 1 is in force
    And a rejection contains "missing-2"
    When "two" announces a bad version 2
    Then no fetch is started
    When "two" announces version 3
    Then a fetch from "two" is started
    When the fetch from "two" returns version 3
    Then version 3 is in force

  Scenario: An old document under a number that nobody published is kept out
    Given a node that enforces version 4
    When "one" announces the document of version 3 as version 9
    Then a fetch from "one" is started
    When the fetch from "one" returns the document of version 3 as version 9
    Then the fault "damaged" is reported
    And version 4 is in force

  Scenario: Versions cross; the later one arrives first
    Given a node that enforces version 1
    When "one" announces version 2
    Then a fetch from "one" is started
    When "two" announces version 3
    Then a fetch from "two" is started
    When the fetch from "two" returns version 3
    Then version 3 is in force
    When the fetch from "one" returns version 2
    Then version 3 is in force
    And no fetch is started

  Scenario: A delta arrives whose base is no longer in force
    Given a node that enforces version 1
    When "one" announces version 2
    And "two" announces version 3
    And the fetch from "one" returns version 2
    And the fetch from "two" returns a delta of version 1 to version 3
    Then the fault "other-base" is reported
    And a fetch from "two" is started
    When the fetch from "two" returns version 3
    Then version 3 is in force

  Scenario: A busy source names another source
    Given a node that enforces version 1
    When "one" announces version 2
    Then a fetch from "one" is started
    When the fetch from "one" returns busy, ask two
    Then a fetch from "two" is started
    When the fetch from "two" returns version 2
    Then version 2 is in force

  Scenario: A source in another data centre is used only after a delay
    Given a node that enforces version 1
    When "far" of another data centre announces version 2
    Then no fetch is started
    And the next wake-up is at most 1.5 s away
    When "near" announces version 2
    Then a fetch from "near" is started

  Scenario: An implausible version is fetched only if the platform announces it
    Given a node that enforces version 1
    When "one" announces version 5000000
    Then no fetch is started
    And the fault "implausible" is reported
    When "platform" announces version 5000000
    Then a fetch from "platform" is started
    When the fetch from "platform" returns version 5000000
    Then version 5000000 is in force

  Scenario: A fresh node asks for the highest of several peers' versions
    Given a node without a version
    When "one" announces version 6
    Then no fetch is started
    And the next wake-up is at most 1 s away
    When "two" announces version 8
    Then no fetch is started
    When "three" announces version 7
    Then a fetch from "two" is started
    When the fetch from "two" returns version 6
    Then version 0 is in force
    And no fetch is started
    When 4 s pass
    Then a fetch from "two" is started
    When the fetch from "two" returns version 8
    Then version 8 is in force

  Scenario: A fresh node fetches a lower version when the highest is unavailable
    Given a node without a version
    When "one" announces version 6
    And "two" announces version 9
    And 1 s pass
    Then a fetch from "two" is started
    When the fetch from "two" returns no answer in time
    And 4 s pass
    Then a fetch from "two" is started
    When the fetch from "two" returns no answer in time
    Then a fetch from "platform" is started
    When the fetch from "platform" returns no answer in time
    And 4 s pass
    Then a fetch from "platform" is started
    When the fetch from "platform" returns no answer in time
    Then a fetch from "one" is started
    When the fetch from "one" returns version 6
    Then version 6 is in force

  Scenario: Notices of versions that their senders lack do not delay the others
    Given 3 connected nodes in each of two data centres
    When 5 peers periodically announce versions that they do not have
    And 10 simulated seconds pass
    And version 2 is published
    Then every node has the newest version within 19 simulated seconds

  Scenario: A false notice causes few reads of the platform
    Given 3 connected nodes in each of two data centres
    When 1 peer announces one version that it does not have
    And 300 simulated seconds pass
    Then at most 20 objects were read

  Scenario: A fresh node without a platform takes its peers' version
    Given 3 connected nodes in each of two data centres
    When "bergen" is cut off from "platform, voss" in the simulated network
    And version 2 is published
    And 19 simulated seconds pass
    Then the nodes of "bergen" have version 1
    And the nodes of "voss" have version 2
    When "bergen-2" starts again
    And 19 simulated seconds pass
    Then the nodes of "bergen" have version 1
    When the cuts in the simulated network are healed
    Then every node has the newest version within 19 simulated seconds

  Scenario: The version never falls and is whole, whatever happens
    Then the invariants hold and all nodes converge in 150 random runs

  Scenario Outline: The poll interval scales with the number of live nodes
    Then <live> of <before> nodes make 0.6 to 1.5 reads a second

    Examples:
      | live | before |
      | 1250 | 1250   |
      | 3    | 1250   |

  Scenario: A start of the whole fleet stays within the platform's limits
    When 1500 and 3000 fresh nodes start at once and find no members
    Then 15000 nodes make at most 2000 reads and 300 writes a second

  Scenario: A node that awaits members polls at a lower rate
    Then a node that awaits members reads first after 15 to 60 s
    And again after 22 to 135 s
    And every 0.5 to 1.5 s once it stops awaiting members

  Scenario: Failed reads lengthen the pauses between reads
    Then a node whose reads fail pauses for 2 to 6 s
