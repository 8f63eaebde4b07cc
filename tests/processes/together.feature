@shared_fleet @relayed @data_centres.3 @copies.2
Feature: Several failures at once, and the loss of a rack

  Background:
    Given the versions of all nodes are monitored
    And callers send 150 calls of 600 ms per second to "desk", each publish by 2 callers at once

  Scenario: A cut, a kill and an outage at once, then concurrent operators
    When "bergen" is cut in both directions from "platform, voss, floro"
    And node "desk-voss-1" is killed
    And the platform is down
    And 3 s elapse
    And node "desk-voss-1" starts again
    And every cut is healed
    And the platform is up
    And 5 operators publish concurrently to the platform of the fleet
    Then every node enforces the newest version within 19 s
    And within 19 s every node lists all 12 targets as available
    When the callers stop, and each publish is sent again
    Then no key was executed twice and every verdict was correct
    And no target of "desk" has run more than 10 calls at a time
    And no node's version was seen to decrease

  Scenario: Half of the nodes of a data centre are lost at once
    When half of the nodes of "bergen" are killed
    Then within 19 s no node lists the killed nodes as available
    When the killed nodes start again
    Then within 19 s every node lists all 12 targets as available
    When the callers stop, and each publish is sent again
    Then no key was executed twice and every verdict was correct
    And some publishes were recorded only by the killed owners
    And no target of "desk" has run more than 10 calls at a time
    And no node's version was seen to decrease
