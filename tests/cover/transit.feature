Feature: Frames on a connection between two nodes

  Scenario Outline: The delay of a frame is measured, to be subtracted from the time left
    Given a connection whose first frames were exchanged from <first> s to <second> s
    When a frame that was sent at <sent> s is read at <read> s
    Then its measured delay is at least <least> s and at most <most> s

    Examples:
      | first | second | sent | read  | least | most |
      | 0     | 0.002  | 5    | 5.001 | 0     | 0.02 |
      | 0     | 0.002  | 5    | 9     | 3.99  | 4.01 |
      | 0     | 0.4    | 0.1  | 0.4   | 0.29  | 0.41 |

  Scenario: An old bound is not measured as a delay when clocks drift
    Given a connection whose first frames were exchanged from 0 s to 0.002 s
    When the sender's clock loses 50 ms per 1000 s during 40000 s
    Then every measured delay is below 0.25 s

  Scenario: Small answers are written between the frames of large ones
    Given two answers of 50 frames each are queued
    When a small answer is queued after every third frame
    Then each small answer is the next frame that is written
    And the frames of the two answers alternate and stay in order

  Scenario: Queued bytes are counted, and released when a stream is dropped
    Given two answers of 50 frames each are queued
    When the rest of the first answer is dropped after 10 frames
    Then all frames that follow are of the second answer
    And no bytes are queued at the end
