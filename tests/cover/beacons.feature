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

  # Guards against a limit that is lost when the process that knew it is
  # replaced.
  Scenario: A peer answers a request with the limit of the requester's target
    Given a node that has just started beside a target
    When a peer reports a limit of its target and is then replaced
    And the replacement of this peer requests the recorded state
    Then the reply to it contains the limit

  Scenario: A limit that its target no longer names is not recorded
    Given a node that has just started beside a target
    When a peer reports a limit of its target, then none, and is then replaced
    And the replacement of this peer requests the recorded state
    Then the reply to it contains no limit

  Scenario Outline: The limit in a beacon is decoded or the beacon is rejected
    Then a beacon with the limit <limit> is <result>

    Examples:
      | limit             | result   |
      | null              | decoded  |
      | ["t1", 500, 2.5]  | decoded  |
      | ["t1", 500, 0.0]  | decoded  |
      | ["t1", 500, null] | decoded  |
      | ["t1", 500, -1.0] | rejected |
      | ["t1", 500, NaN]  | rejected |
      | ["t1", 500, Infinity] | rejected |
      | ["t1", 500, "2"]  | rejected |
      | ["t1", 2.5]       | rejected |
      | [1, 500, 2.5]     | rejected |
      | 2.5               | rejected |

  Scenario: The beacon of an earlier release is decoded
    Given a node that has just started beside a target
    When a beacon without the field of suspicions arrives from a peer
    Then it requests the recorded state from this peer
