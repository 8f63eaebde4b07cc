@shared_fleet @data_centres.2 @copies.2
Feature: Nodes as processes are killed, frozen, replaced and come back

  Scenario: A killed node is avoided, and its replacement is taken at once
    When node "desk-voss-1" is killed
    Then within 19 s no node offers "desk-voss-1"
    When node "desk-voss-1" starts again
    Then within 19 s every node offers all 8 targets

  Scenario: A frozen node is avoided, and accuses nobody when it wakes
    When node "feed-bergen-1" gets SIGSTOP
    Then within 19 s no node offers "feed-bergen-1"
    When node "feed-bergen-1" wakes
    Then within 19 s every node offers all 8 targets
    And for 3 s no node but "feed-bergen-1" is suspected

  Scenario: A drained target is offered to nobody after 3 s
    When node "desk-bergen-2" has its target drained
    Then within 3 s no node offers "desk-bergen-2"
    When node "desk-bergen-2" has its target undrained
    Then within 3 s every node offers all 8 targets

  Scenario: A node that hears of a higher incarnation of itself keeps its keys
    When a broken peer tells "desk-bergen-1" of a higher incarnation of itself
    And 3 s go by
    Then within 19 s every node offers all 8 targets
    And 40 publishes through "feed-bergen-1" have run

  Scenario: A second process under one id is the replacement of the first
    When a second process "desk-voss-1" starts at other addresses
    Then the first one ends within 19 s with exit code 8
    And its log says at level "error" that it was replaced
    And within 19 s every node offers all 8 targets
    And 40 publishes through "feed-voss-1" have run

  Scenario: Half of the nodes are killed while the platform is down
    When the platform is down
    And half of the nodes are killed
    Then within 19 s no node offers the killed ones
    When the killed nodes start again
    Then within 19 s every node offers all 8 targets
    When the platform is up
