@shared_fleet @data_centres.2 @copies.2
Feature: Nodes as processes are killed, frozen, replaced and restarted

  Scenario: A killed node becomes unavailable, and its replacement becomes available
    When node "desk-voss-1" is killed
    Then within 19 s no node lists "desk-voss-1" as available
    When node "desk-voss-1" starts again
    Then within 19 s every node lists all 8 targets as available

  Scenario: A frozen node becomes unavailable, and suspects no other node when resumed
    When node "feed-bergen-1" gets SIGSTOP
    Then within 19 s no node lists "feed-bergen-1" as available
    When node "feed-bergen-1" is resumed
    Then within 19 s every node lists all 8 targets as available
    And for 3 s no node but "feed-bergen-1" is suspected

  Scenario: A drained target is unavailable at every node after 3 s
    When the target of node "desk-bergen-2" is drained
    Then within 3 s no node lists "desk-bergen-2" as available
    When the target of node "desk-bergen-2" is undrained
    Then within 3 s every node lists all 8 targets as available

  Scenario: A node that receives a record of a higher incarnation of itself keeps its keys
    When a faulty peer sends "desk-bergen-1" a record of a higher incarnation of itself
    And 3 s elapse
    Then within 19 s every node lists all 8 targets as available
    And 40 publishes through "feed-bergen-1" have run

  Scenario: A second process with the same id replaces the first
    When a second process "desk-voss-1" starts at other addresses
    Then the first process exits within 19 s with code 8
    And its log records at level "error" that it was replaced
    And within 19 s every node lists all 8 targets as available
    And 40 publishes through "feed-voss-1" have run

  Scenario: Half of the nodes are killed while the platform is down
    When the platform is down
    And half of the nodes are killed
    Then within 19 s no node lists the killed nodes as available
    When the killed nodes start again
    Then within 19 s every node lists all 8 targets as available
    When the platform is up
