@own_fleet @relayed @data_centres.2 @copies.1
Feature: Keys in a data centre that is cut off

  Scenario: New and earlier keys while a data centre is cut off
    When a caller publishes to "desk" through "feed-voss-1" with key "before"
    Then the verdict is "ran" with reason "served"
    When "bergen" is cut in both directions from "voss, platform"
    And a caller requests 200 keys of "desk" from "feed-bergen-1"
    Then it gets 200 keys
    When a caller publishes to "desk" through "feed-bergen-1" with its next key
    Then the verdict is "ran" with reason "served"
    When a caller publishes to "desk" through "feed-voss-1" with the same key
    Then the verdict is "may-have-run", because of "owner-unreachable" or "deadline-passed"
    When every cut is healed
    And a caller publishes to "desk" through "feed-voss-1" with the same key
    Then the verdict is "ran" with reason "served"
    And its key was executed 1 time
    When a caller publishes to "desk" through "feed-bergen-1" with key "before"
    Then the verdict is "ran" with reason "served"
    And its key was executed 1 time
