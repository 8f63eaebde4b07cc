Feature: Old versions are removed from the platform, kept ones never

  Background:
    Given 30 changes, the last 5 of them within a day

  Scenario: The newest, the last days and the last versions are kept
    When versions beyond 1 day and the last 2 are pruned
    Then documents are kept from version 25
    When versions beyond 1 day and the last 12 are pruned
    Then documents are kept from version 25
    When versions beyond 1 day and the last 2 are pruned
    Then the platform saw 0 writes

  Scenario: The last versions are kept however old they are
    Given 30 changes, the last 1 of them within a day
    When versions beyond 1 day and the last 12 are pruned
    Then documents are kept from version 19

  Scenario: A dry run writes nothing and tells what would go
    When versions beyond 1 day and the last 2 are pruned in a dry run
    Then 24 objects would go
    And the platform saw 0 writes

  Scenario: A document published again outlives its first version
    Given version 1 is published again as version 31
    When versions beyond 1 day and the last 2 are pruned
    Then documents are kept from version 25

  Scenario: A pruned version is told as pruned, a lost one as lost
    When versions beyond 1 day and the last 2 are pruned
    Then reading version 3 says "version 3 was pruned; the oldest version kept is 25"
    And a repeat of the edit of version 4 says "version 3 was pruned"
    When the object of version 27 is lost
    Then reading version 27 says "the object of version 27 is missing"

  Scenario: Rows go later than documents
    When versions beyond 1 day and the last 2 are pruned with their changes
    Then documents are kept from version 25
    And changes are kept from version 25
    And reading version 3 says "version 3 was pruned; the oldest version kept is 25"

  Scenario: Two prunes at the same time
    When a prune is overtaken by another one before it removes changes
    Then changes are kept from version 25
    And documents are kept from version 25
    And both together tell 24 changes removed

  Scenario: The clock of the pruning machine is ahead
    When versions beyond 1 day and the last 2 are pruned by a clock 90 days ahead
    Then documents are kept from version 25

  Scenario: Objects of publishes that failed go, that of one under way stays
    Given objects of publishes that ended before versions 3, 28 and 31
    When versions beyond 1 day and the last 2 are pruned
    Then the object before version 31 is there, and is taken away
    And documents are kept from version 25

  Scenario: A node that is far behind
    When versions beyond 1 day and the last 2 are pruned
    Then a node that has heard only of version 3 goes on to 30

  Scenario: Prunes that cross publishes under random faults
    Then 150 random sessions with prunes keep what is to be kept
