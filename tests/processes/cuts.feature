@own_fleet @relayed @data_centres.2 @copies.1
Feature: A data centre that is cut off goes on serving

  Scenario: Each side serves while the data centres are cut from each other
    When "bergen" and "voss" are cut from each other
    And a caller reads "desk" through "feed-bergen-1"
    Then the verdict is "ran" with reason "served"
    When a caller reads "desk" through "feed-voss-1"
    Then the verdict is "ran" with reason "served"
    When every cut is healed
    And a new version is published
    Then every node enforces the newest version within 19 s
