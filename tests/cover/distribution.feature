Feature: A node learns of versions, gets them and keeps the newest good one

  Scenario Outline: A source that gives <what> is left for another
    Given a node that enforces version 4
    When "one" announces version 5
    Then "one" is asked
    When "two" announces version 5
    Then nobody is asked
    When the fetch of "one" brings <what>
    Then "two" is asked
    And the fault "<fault>" is reported
    When the fetch of "two" brings version 5
    Then version 5 is in force

    Examples:
      | what                       | fault       |
      | a damaged version 5        | damaged     |
      | version 3                  | old-version |
      | only the name of version 5 | withheld    |
      | no answer in time          | unreachable |

  Scenario: A bad version between two good ones is kept out and passed by
    Given a node that enforces version 1
    When "one" announces a bad version 2
    Then "one" is asked
    When the fetch of "one" brings a bad version 2
    Then version 1 is in force
    And a rejection names "missing-2"
    When "two" announces a bad version 2
    Then nobody is asked
    When "two" announces version 3
    Then "two" is asked
    When the fetch of "two" brings version 3
    Then version 3 is in force

  Scenario: An old document under a number that nobody published is kept out
    Given a node that enforces version 4
    When "one" announces the document of version 3 as version 9
    Then "one" is asked
    When the fetch of "one" brings the document of version 3 as version 9
    Then the fault "damaged" is reported
    And version 4 is in force

  Scenario: Versions cross; the later one arrives first
    Given a node that enforces version 1
    When "one" announces version 2
    Then "one" is asked
    When "two" announces version 3
    Then "two" is asked
    When the fetch of "two" brings version 3
    Then version 3 is in force
    When the fetch of "one" brings version 2
    Then version 3 is in force
    And nobody is asked

  Scenario: A delta comes for a version that is not in force any more
    Given a node that enforces version 1
    When "one" announces version 2
    And "two" announces version 3
    And the fetch of "one" brings version 2
    And the fetch of "two" brings a delta of version 1 to version 3
    Then the fault "other-base" is reported
    And "two" is asked
    When the fetch of "two" brings version 3
    Then version 3 is in force

  Scenario: A busy source names another
    Given a node that enforces version 1
    When "one" announces version 2
    Then "one" is asked
    When the fetch of "one" brings later, ask two
    Then "two" is asked
    When the fetch of "two" brings version 2
    Then version 2 is in force

  Scenario: A source in another data centre waits for a near one
    Given a node that enforces version 1
    When "far" of another data centre announces version 2
    Then nobody is asked
    And the next wake is at most 1.5 s away
    When "near" announces version 2
    Then "near" is asked

  Scenario: A number that can't be right needs the platform's word
    Given a node that enforces version 1
    When "one" announces version 5000000
    Then nobody is asked
    And the fault "implausible" is reported
    When "platform" announces version 5000000
    Then "platform" is asked
    When the fetch of "platform" brings version 5000000
    Then version 5000000 is in force

  Scenario: A fresh node asks for the highest of several peers' versions
    Given a node without a version
    When "one" announces version 6
    Then nobody is asked
    And the next wake is at most 1 s away
    When "two" announces version 8
    Then nobody is asked
    When "three" announces version 7
    Then "two" is asked
    When the fetch of "two" brings version 6
    Then version 0 is in force
    And nobody is asked
    When 4 s pass
    Then "two" is asked
    When the fetch of "two" brings version 8
    Then version 8 is in force

  Scenario: A fresh node looks lower when the highest can't be had
    Given a node without a version
    When "one" announces version 6
    And "two" announces version 9
    And 1 s pass
    Then "two" is asked
    When the fetch of "two" brings no answer in time
    And 4 s pass
    Then "two" is asked
    When the fetch of "two" brings no answer in time
    Then "platform" is asked
    When the fetch of "platform" brings no answer in time
    And 4 s pass
    Then "platform" is asked
    When the fetch of "platform" brings no answer in time
    Then "one" is asked
    When the fetch of "one" brings version 6
    Then version 6 is in force

  Scenario: Peers that announce what they have not hold nobody up
    Given 3 joined nodes in each of two data centres
    When 5 peers announce numbers that they have not, all the time
    And 10 simulated seconds pass
    And version 2 is published
    Then every node has the newest version within 19 simulated seconds

  Scenario: A false notice costs the platform few reads
    Given 3 joined nodes in each of two data centres
    When 1 peer announces one number that it has not
    And 300 simulated seconds pass
    Then at most 20 objects were read

  Scenario: A fresh node without a platform takes its peers' version
    Given 3 joined nodes in each of two data centres
    When "bergen" is cut off from "platform, voss" in memory
    And version 2 is published
    And 19 simulated seconds pass
    Then the nodes of "bergen" have version 1
    And the nodes of "voss" have version 2
    When "bergen-2" starts again
    And 19 simulated seconds pass
    Then the nodes of "bergen" have version 1
    When the cuts in memory are healed
    Then every node has the newest version within 19 simulated seconds

  Scenario: The version never falls and is whole, whatever happens
    Then the invariants hold and all agree in 150 random runs

  Scenario Outline: The share of the reads follows the number of live nodes
    Then <live> of <before> nodes make 0.6 to 1.5 reads a second

    Examples:
      | live | before |
      | 1250 | 1250   |
      | 3    | 1250   |

  Scenario: A start of the whole fleet stays under the platform's limits
    When 1500 and 3000 fresh nodes start at once and meet nobody
    Then 15000 make at most 2000 reads and 300 writes a second

  Scenario: A node that awaits members reads seldom until it meets one
    Then a node that awaits members reads first after 15 to 60 s
    And again after 22 to 135 s
    And every 0.5 to 1.5 s once it knows that it is alone

  Scenario: Failed reads make the pauses longer
    Then a node that fails to read waits 2 to 6 s
