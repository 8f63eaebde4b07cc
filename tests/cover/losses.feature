Feature: Detection of lost nodes and of their return

  Scenario Outline: A loss that one node detects is announced to all near ones at once
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When <who> goes down, and one near node gets no answer from it
    Then within 0.6 s all near nodes have marked it lost

    Examples:
      | who         |
      | a near node |
      | a far node  |

  Scenario: Half of the owners of a service go down within a second
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When 20 near nodes go down, and for each of them one node gets no answer
    Then within 0.8 s all near nodes have marked them lost
    And no other node is marked lost
    And no node has sent more than 700 datagrams

  Scenario: Suspicions of a node that has lost its links are not adopted
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When one near node receives nothing and suspects all others
    Then after 1 s no other near node has marked another one lost

  Scenario: A node that was suspected wrongly is in use again at once
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When a near node suspects a far one that is alive
    Then after 0.02 s no near node has marked another one lost

  Scenario: A process that was delayed itself marks no node lost after it has read its datagrams
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When a near node is suspected, and the others stall before they read the answers
    Then after 1 s no other near node has marked another one lost

  Scenario: A data centre is in use again soon after a partition
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    And a data centre that is marked lost because of a partition
    When the partition heals, and a beacon of one of its nodes arrives
    Then within 0.3 s all near nodes have marked all of its nodes alive
    And no node has sent more than 300 datagrams
