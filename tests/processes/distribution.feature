@shared_fleet @data_centres.2 @copies.2
Feature: Versions reach nodes that were frozen and nodes without the platform

  Background:
    Given the versions of all nodes are monitored

  Scenario: A node that was frozen while two versions were published
    When node "feed-voss-2" gets SIGSTOP
    And a new version is published
    Then one node enforces the newest version within 19 s
    When a new version is published
    Then the nodes in "bergen" enforce the newest version within 19 s
    When node "feed-voss-2" is resumed
    Then every node enforces the newest version within 19 s
    And no node's version was seen to decrease

  Scenario: The platform hangs after one node has fetched the version
    When a new version is published
    Then one node enforces the newest version within 19 s
    When the platform gets SIGSTOP
    Then every node enforces the newest version within 19 s
    When node "desk-bergen-2" is killed
    And node "desk-bergen-2" starts again
    Then every node enforces the newest version within 19 s
    When the platform gets SIGCONT
    Then no node's version was seen to decrease

  Scenario: A member announces versions that it does not have
    When a member that never answers floods every node with false notices
    And a new version is published
    Then every node enforces the newest version within 19 s
    And no node's version was seen to decrease
