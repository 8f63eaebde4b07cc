Feature: Only old versions are removed from the platform

  Background:
    Given 30 changes, the last 5 of them within a day

  Scenario: The newest version, the last days and the last versions are kept
    When versions beyond 1 day and the last 2 are pruned
    Then documents are kept from version 25
    When versions beyond 1 day and the last 12 are pruned
    Then documents are kept from version 25
    When versions beyond 1 day and the last 2 are pruned
    Then the platform has received 0 writes

  Scenario: The last versions are kept at any age
    Given 30 changes, the last 1 of them within a day
    When versions beyond 1 day and the last 12 are pruned
    Then documents are kept from version 19

  Scenario: A dry run writes nothing and reports what would be removed
    When versions beyond 1 day and the last 2 are pruned in a dry run
    Then 24 objects would be removed
    And the platform has received 0 writes

  Scenario: A document that is published again is kept with its new version
    Given version 1 is published again as version 31
    When versions beyond 1 day and the last 2 are pruned
    Then documents are kept from version 25

  Scenario: A pruned version is reported as pruned, a lost one as missing
    When versions beyond 1 day and the last 2 are pruned
    Then reading version 3 fails with "version 3 was pruned; the oldest version kept is 25"
    And a repeat of the edit of version 4 fails with "version 3 was pruned"
    When the object of version 27 is lost
    Then reading version 27 fails with "the object of version 27 is missing"

  Scenario: Rows are removed later than documents
    When versions beyond 1 day and the last 2 are pruned with their changes
    Then documents are kept from version 25
    And changes are kept from version 25
    And reading version 3 fails with "version 3 was pruned; the oldest version kept is 25"

  Scenario: Two concurrent prunes
    When another prune runs before a prune removes changes
    Then changes are kept from version 25
    And documents are kept from version 25
    And both prunes together report 24 removed changes

  Scenario: The clock of the pruning machine is ahead
    When versions beyond 1 day and the last 2 are pruned by a clock 90 days ahead
    Then documents are kept from version 25

  Scenario: Objects of failed publishes are removed, that of a pending one is kept
    Given objects of failed or pending publishes of versions 3, 28 and 31
    When versions beyond 1 day and the last 2 are pruned
    Then the object of pending version 31 exists, and is then deleted
    And documents are kept from version 25

  Scenario: A node that lags behind the kept versions
    When versions beyond 1 day and the last 2 are pruned
    Then a node with a notice of only version 3 proceeds to 30

  Scenario: Prunes that cross publishes under random faults
    Then 150 random sessions with prunes keep the required versions
