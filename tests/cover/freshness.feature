Feature: How fresh the configuration is proven to be

  # Guards against a withdrawn key that is accepted later than is allowed.
  Scenario: No order of messages, freezes and restarts admits keys too long
    Then in 400 seeded sessions no node admits keys later than 5 s after a version that it lacks

  # Guards against refusing keys that are in force.
  Scenario Outline: Keys are admitted while a node reaches the store or a fresh peer
    Given <count> nodes in <dcs> data centres that lose <loss> of their datagrams
    When the store turns <refused> of them away for 30 s
    Then all of them admit keys from 2 s on
    And the store gets at most <calls> calls a second
    And a node sends at most <mean> datagrams a second on average and <most> at most

    Examples:
      | count | dcs | loss | refused | calls | mean | most |
      | 60    | 4   | 0    | 0       | 8     | 2    | 10   |
      | 60    | 4   | 0.2  | 0.35    | 8     | 3    | 12   |
      | 60    | 4   | 0    | 0.9     | 8     | 4    | 40   |
      | 195   | 3   | 0.05 | 0.35    | 6     | 3    | 50   |
      | 300   | 1   | 0    | 0       | 2     | 2    | 45   |

  Scenario Outline: An answer counts from the time of its question
    Given a node with version 3 that asked a peer at 10 s
    When the answer of version <version> with a proof of age <age> s arrives at <at> s
    Then at <checked> s its proof is <expected> s old

    Examples:
      | version | age | at   | checked | expected |
      | 3       | 1.5 | 10.1 | 11      | 2.5      |
      | 2       | 1.5 | 10.1 | 11      | 2.5      |
      | 3       | 1.5 | 18   | 18      | 9.5      |

  Scenario: A newer version makes an earlier answer count
    Given a node with version 3 that asked a peer at 10 s
    When the answer of version 4 with a proof of age 0.5 s arrives at 10.1 s
    Then at 11 s it has no proof
    When version 4 comes into force
    Then at 11 s its proof is 1.5 s old

  Scenario: Only the first answer to an open question counts
    Given a node with version 3 that asked a peer at 10 s
    When an answer to another question arrives at 10.1 s
    Then at 11 s it has no proof
    When the answer of version 3 with a proof of age 3 s arrives at 10.2 s
    And the answer of version 3 with a proof of age 0 s arrives at 10.3 s
    Then at 11 s its proof is 4 s old

  Scenario Outline: The time at which a key may be refused, admitted or neither
    Given a node with version 3 that asked a peer at 10 s
    When the answer of version 3 with a proof of age 0 s arrives at 10 s
    Then at <at> s it <admits> keys and <denies> unknown ones

    Examples:
      | at    | admits        | denies        |
      | 12.4  | admits        | denies        |
      | 12.6  | admits        | does not deny |
      | 14.98 | admits        | does not deny |
      | 15.01 | does not admit | does not deny |

  # A restored store may lack the newest version, which peers still have.
  Scenario: A read of a restored store counts once the versions of peers are known
    Given a node with version 3 that reads the store at 10 s in era 1
    Then at 10.1 s it has no proof
    And at 10.4 s its proof is 0.4 s old
    When it reads the store at 11 s in era 2
    Then at 11.1 s its proof is 1.1 s old
    When a peer reports version 4
    And it reads the store at 13 s in era 2
    Then at 13.1 s its proof is 3.1 s old
    When version 4 comes into force
    Then at 13.1 s its proof is 0.1 s old
