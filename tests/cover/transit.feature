Feature: Frames on a connection between two nodes

  Scenario Outline: The wait of a frame is taken from the time left
    Given a connection whose first frames crossed at <first> s to <second> s
    When a frame that was sent at <sent> s is read at <read> s
    Then its wait counts at least <least> s and at most <most> s

    Examples:
      | first | second | sent | read | least | most |
      | 0     | 0.002  | 5    | 5.001 | 0    | 0.02 |
      | 0     | 0.002  | 5    | 9     | 3.99 | 4.01 |
      | 0     | 0.4    | 0.1  | 0.4   | 0.29 | 0.41 |

  Scenario: An old bound doesn't turn into a delay when clocks drift
    Given a connection whose first frames crossed at 0 s to 0.002 s
    When the sender's clock falls behind by 50 ms a 1000 s for 40000 s
    Then no frame is thought to have waited 0.25 s

  Scenario: Small answers pass large ones
    Given two answers of 50 frames each wait to be written
    When a small answer comes after every third frame
    Then each small answer is the next frame that is written
    And the frames of the two answers take turns in their own order

  Scenario: What waits is counted and given back
    Given two answers of 50 frames each wait to be written
    When the rest of the first is dropped after 10 frames
    Then the frames that follow are all of the second
    And nothing waits at the end
