Feature: What nodes tell each other in datagrams

  Scenario: A node that hears a peer before it knows the peer's row asks it at once
    Given a node that has just started beside a target
    When the beacon of a peer that it does not know comes
    Then it asks this peer for what it knows
    When another beacon of this peer comes
    Then it asks nobody

  Scenario: A node that reads a peer's row before its beacon asks it once
    Given a node that has just started beside a target
    When the row of a peer comes
    Then it asks this peer for what it knows
    When the beacon of this peer comes
    Then it asks nobody

  Scenario: A peer tells a node that asks of the departure of its target
    Given a node that has just started beside a target
    When a peer tells of its target's departure and is then replaced
    And the replaced peer asks for what is known
    Then it is told of the departure

  Scenario: The beacon of an earlier release is read
    Given a node that has just started beside a target
    When a beacon without doubts comes from a peer
    Then it asks this peer for what it knows
