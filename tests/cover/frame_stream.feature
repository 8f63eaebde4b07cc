Feature: The byte stream of a node connection is split into frames

  Scenario: Frames are received whole and in order for any segmentation
    Then random frames in random pieces are received as they were written

  Scenario Outline: A connection is closed after an invalid frame
    When a peer sends <bytes>
    Then the connection is closed and <count> frames were received

    Examples:
      | bytes                                 | count |
      | a frame, then one that is too large   | 1     |
      | a frame that is refused, then a frame | 1     |

  Scenario Outline: A connection is closed when its peer is silent
    When the peer <does> for 12 ticks
    Then the connection is <state>

    Examples:
      | does                    | state  |
      | is silent               | closed |
      | answers                 | open   |
      | sends a frame each tick | open   |
