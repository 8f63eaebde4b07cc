Feature: Old versions are removed from the platform, kept ones never

  Scenario: The newest, the last days and the last versions are kept
    Given 30 changes, the last 5 of them within a day
    When versions are pruned that are neither of 1 day nor of the last 2
    Then documents are kept from version 25
    When versions are pruned that are neither of 1 day nor of the last 12
    Then documents are kept from version 25
    And a repeated prune writes nothing

  Scenario: The last versions are kept however old they are
    Given 30 changes, the last 1 of them within a day
    When versions are pruned that are neither of 1 day nor of the last 12
    Then documents are kept from version 19

  Scenario: A dry run writes nothing and tells what would go
    Given 30 changes, the last 5 of them within a day
    When a dry run prunes versions that are neither of 1 day nor of the last 2
    Then 24 objects would go and the platform saw no write

  Scenario: A document published again outlives its first version
    Given 30 changes, the last 5 of them within a day
    And version 1 is published again as version 31
    When versions are pruned that are neither of 1 day nor of the last 2
    Then documents are kept from version 25

  Scenario: A pruned version is told as pruned, a lost one as lost
    Given 30 changes, the last 5 of them within a day
    When versions are pruned that are neither of 1 day nor of the last 2
    Then reading version 3 says "version 3 was pruned; the oldest version kept is 25"
    And a repeat of the edit of version 4 says "version 3 was pruned"
    When the object of version 27 is lost
    Then reading version 27 says "the object of version 27 is missing"

  Scenario: Rows go later than documents
    Given 30 changes, the last 5 of them within a day
    When versions and changes are pruned that are neither of 1 day nor of the last 2
    Then documents are kept from version 25
    And changes are kept from version 25
    And reading version 3 says "version 3 was pruned; the oldest version kept is 25"

  Scenario: Two prunes at the same time
    Given 30 changes, the last 5 of them within a day
    When a prune is overtaken by another one before it removes changes
    Then changes are kept from version 25
    And documents are kept from version 25
    And both together tell 24 changes removed

  Scenario: The clock of the pruning machine is ahead
    Given 30 changes, the last 5 of them within a day
    When versions are pruned by a clock that is 90 days ahead
    Then documents are kept from version 25

  Scenario: Objects of publishes that failed go, that of one under way stays
    Given 30 changes, the last 5 of them within a day
    And objects of publishes that ended before versions 3, 28 and 31
    When versions are pruned that are neither of 1 day nor of the last 2
    Then documents are kept from version 25 beside the object before version 31

  Scenario: A node that is far behind
    Given 30 changes, the last 5 of them within a day
    When versions are pruned that are neither of 1 day nor of the last 2
    Then a node that has heard of version 3 only goes on to version 30

  Scenario: Prunes that cross publishes under random faults
    Then 150 random sessions with prunes keep every version that is to be kept
