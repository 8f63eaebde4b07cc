@shared_fleet @relayed @data_centres.3 @copies.1
Feature: A data centre that is cut off continues to serve

  Scenario Outline: <data_centre> is cut in <way> from <others>
    Given the versions of all nodes are monitored
    When "<data_centre>" is cut in <way> from "<others>"
    And a new version is published
    Then the nodes outside "<data_centre>" enforce the newest version within 19 s
    And the nodes in "<data_centre>" enforce the <version> version within 19 s
    When a caller reads "desk" through "feed-<data_centre>-1"
    Then the verdict is "ran" with reason "served"
    When every cut is healed
    Then every node enforces the newest version within 19 s
    When a caller reads "desk" through "feed-<data_centre>-1"
    Then the verdict is "ran" with reason "served"
    And no node's version was seen to decrease

    Examples:
      | data_centre | way                    | others                | version  |
      | bergen      | both directions        | platform              | newest   |
      | bergen      | both directions        | voss, floro           | newest   |
      | bergen      | both directions        | platform, voss, floro | previous |
      | voss        | the inbound direction  | platform, floro       | newest   |
      | floro       | the outbound direction | platform, bergen      | newest   |

  Scenario: Both sides continue to serve while they are cut from each other
    When "bergen" is cut in both directions from "voss, floro"
    And a caller reads "desk" through "feed-bergen-1"
    Then the verdict is "ran" with reason "served"
    When a caller reads "desk" through "feed-voss-1"
    Then the verdict is "ran" with reason "served"
    When every cut is healed
    And a new version is published
    Then every node enforces the newest version within 19 s
