@shared_fleet @relayed @data_centres.3 @copies.1
Feature: A data centre that is cut off goes on serving

  Scenario Outline: <zone> is cut in <way> from <others>
    Given the versions of all nodes are watched
    When "<zone>" is cut in <way> from "<others>"
    And a new version is published
    Then the nodes outside "<zone>" enforce the newest version within 19 s
    And the nodes in "<zone>" enforce the <version> version within 19 s
    When a caller reads "desk" through "feed-<zone>-1"
    Then the verdict is "ran" with reason "served"
    When every cut is healed
    Then every node enforces the newest version within 19 s
    When a caller reads "desk" through "feed-<zone>-1"
    Then the verdict is "ran" with reason "served"
    And no version was seen to fall

    Examples:
      | zone   | way             | others                | version  |
      | bergen | both directions | platform              | newest   |
      | bergen | both directions | voss, floro           | newest   |
      | bergen | both directions | platform, voss, floro | previous |
      | voss   | what it hears   | platform, floro       | newest   |
      | floro  | what it sends   | platform, bergen      | newest   |

  Scenario: Both sides go on serving while they are cut from each other
    When "bergen" is cut in both directions from "voss, floro"
    And a caller reads "desk" through "feed-bergen-1"
    Then the verdict is "ran" with reason "served"
    When a caller reads "desk" through "feed-voss-1"
    Then the verdict is "ran" with reason "served"
    When every cut is healed
    And a new version is published
    Then every node enforces the newest version within 19 s
