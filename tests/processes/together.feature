@shared_fleet @relayed @data_centres.3 @copies.2
Feature: Several failures at once, and the loss of a rack

  Background:
    Given the versions of all nodes are watched
    And for each publish 2 callers at once, among 150 calls of 600 ms a second to "desk"

  Scenario: A cut, a kill and an outage at once, then operators who race
    When "bergen" is cut in both directions from "platform, voss, floro"
    And node "desk-voss-1" is killed
    And the platform is down
    And 3 s go by
    And node "desk-voss-1" starts again
    And every cut is healed
    And the platform is up
    And 5 operators race on the platform of the fleet
    Then every node enforces the newest version within 19 s
    And within 19 s every node offers all 12 targets
    When the callers stop, and each publish is sent again
    Then no key was executed twice and every verdict was true
    And no target of "desk" has run more than 10 calls at a time
    And no version was seen to fall

  Scenario: Half of the nodes of a data centre are lost at once
    When half of the nodes of "bergen" are killed
    Then within 19 s no node offers the killed ones
    When the killed nodes start again
    Then within 19 s every node offers all 12 targets
    When the callers stop, and each publish is sent again
    Then no key was executed twice and every verdict was true
    And some publishes are known to the lost owners only
    And no target of "desk" has run more than 10 calls at a time
    And no version was seen to fall
