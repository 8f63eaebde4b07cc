@shared_fleet @data_centres.2 @copies.2
Feature: Versions reach nodes that were away and nodes without a platform

  Background:
    Given the versions of all nodes are watched

  Scenario: A node that was frozen across two versions
    When the process of "feed-voss-2" is sent SIGSTOP
    And a new version is published
    Then one node enforces the newest version within 19 s
    When a new version is published
    Then the nodes in "bergen" enforce the newest version within 19 s
    When the process of "feed-voss-2" is sent SIGCONT
    Then every node enforces the newest version within 19 s
    And no version was seen to fall

  Scenario: The platform hangs once one node has the version
    When a new version is published
    Then one node enforces the newest version within 19 s
    When the process of "platform" is sent SIGSTOP
    Then every node enforces the newest version within 19 s
    When the process of "desk-bergen-2" is killed and started again
    Then "desk-bergen-2" enforces the newest version within 19 s
    When the process of "platform" is sent SIGCONT
    Then no version was seen to fall

  Scenario: A member announces versions that it does not have
    When a member that never answers floods every node with false notices
    And a new version is published
    Then every node enforces the newest version within 19 s
    And no version was seen to fall
