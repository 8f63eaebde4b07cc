@shared_fleet @data_centres.2 @copies.1 @seeds.0
Feature: Nodes without seeds in their settings find each other by seed rows

  Scenario: Every node has found every other, and the seed rows name live members
    Then every node lists all 4 targets as available
    And the seed rows of each data centre name 2 of its nodes

  Scenario: A node that is alone in its data centre joins again by seed rows
    When node "desk-voss-1" is killed
    And node "feed-voss-1" is killed
    And node "feed-voss-1" starts again
    Then within 40 s every node lists all 3 targets as available
