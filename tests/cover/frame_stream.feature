Feature: Frames on a connection between two nodes are cut out of its bytes

  Scenario: Frames arrive whole and in order, however the bytes are cut
    Then random frames in random pieces arrive as they were written

  Scenario Outline: A connection is closed when its bytes are no frames
    When a peer sends <bytes>
    Then the connection is closed and <count> frames were taken

    Examples:
      | bytes                                | count |
      | a frame, then one beyond the bound   | 1     |
      | a frame that is refused, then a frame | 1     |

  Scenario Outline: A peer is given up when it gives no sign of life
    When the far end <does> for 12 ticks
    Then the connection is <state>

    Examples:
      | does           | state  |
      | is silent      | closed |
      | answers        | open   |
      | sends a frame each tick | open |
