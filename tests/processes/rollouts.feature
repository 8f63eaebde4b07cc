@alone
Feature: Roll-outs on the platform

  Background:
    Given VMs with targets of two releases
      | vm | data centre | service | release |
      | a1 | bergen      | desk    | v1      |
      | a2 | bergen      | desk    | v2      |
      | b1 | voss        | desk    | v1      |
      | b2 | voss        | desk    | v2      |
      | b3 | voss        | feed    | v1      |
    And clients on all VMs send 100 requests a second to "desk"

  Scenario: A good release takes over while nothing runs at the old targets
    When a roll-out of "desk" to "v2" within 10 s is ordered
    Then its status is "completed" within 10 s
    And from then on no target of "v1" of "desk" executes a request
    And all requests were answered with 200

  Scenario: A faulty release is rolled back
    Given the targets of "v2" fail all requests once it is ordered
    When a roll-out of "desk" to "v2" within 10 s is ordered
    Then its status is "rolled_back" within 9 s
    And from then on no target of "v2" of "desk" executes a request
    And the targets of "v2" have executed at most 40 requests since they fail
    And all requests were answered with 200

  Scenario: Another node goes on when the decider is killed after a step
    When a roll-out of "desk" to "v2" within 14 s is ordered
    And the node that decides is killed as soon as the share is raised
    And it is started again after 2.5 s
    Then its status is "completed" within 14 s
    And another node has decided

  Scenario: The store is away while a faulty release is judged
    Given the targets of "v2" fail all requests once it is ordered
    When a roll-out of "desk" to "v2" within 14 s is ordered
    And the store is unavailable as soon as the share is raised
    Then 7 s later no target of "v2" of "desk" executes a request
    When the store is available again
    Then its status is "rolled_back" within 9 s
