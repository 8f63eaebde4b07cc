Feature: Beacons between nodes

  Scenario: A beacon of an unknown peer is answered with a request at once
    Given a node that has just started beside a target
    When the beacon of an unknown peer arrives
    Then it requests the recorded state from this peer
    When another beacon of this peer arrives
    Then it sends no request to a peer

  Scenario: A peer whose row is read before its beacon gets one request
    Given a node that has just started beside a target
    When the row of a peer arrives
    Then it requests the recorded state from this peer
    When the beacon of this peer arrives
    Then it sends no request to a peer

  Scenario: A peer answers a request with the departure of the requester's target
    Given a node that has just started beside a target
    When a peer announces its target's departure and is then replaced
    And the replacement of this peer requests the recorded state
    Then the reply to it contains the departure

  Scenario: The beacon of an earlier release is decoded
    Given a node that has just started beside a target
    When a beacon without the field of suspicions arrives from a peer
    Then it requests the recorded state from this peer
