Feature: Nodes that fall silent, and those that come back

  Scenario Outline: What one node finds out, all near ones know at once
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When <who> goes dark, and one near node gets no answer from it
    Then within 0.6 s all near nodes hold it lost

    Examples:
      | who         |
      | a near node |
      | a far node  |

  Scenario: Half of the owners of a service go dark within a second
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When 20 near nodes go dark, and each of them leaves one node without an answer
    Then within 0.8 s all near nodes hold them lost
    And nobody else is held lost
    And no node has sent more than 700 datagrams

  Scenario: A node that has lost its links is not believed
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When one near node hears nobody and doubts all others
    Then after 1 s nobody else holds anybody lost

  Scenario: A node that was doubted wrongly is in use again at once
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When a near node doubts a far one that lives
    Then after 0.02 s nobody holds anybody lost

  Scenario: A process that was late itself holds nobody lost once it has read
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    When a near node is doubted, and the others are late for the answers
    Then after 1 s nobody else holds anybody lost

  Scenario: A data centre that was cut off is in use again soon
    Given 40 near nodes and 20 nodes of each of 2 other data centres
    And a data centre that is held lost as it was cut off
    When the cut heals, and one of its nodes is heard
    Then within 0.3 s all near nodes hear of all of its nodes
    And no node has sent more than 300 datagrams
