Feature: Load patterns of a fleet of sidecars

  Scenario Outline: What is asked is served in time while there is room
    When 5 s of the load pattern "<pattern>" are played
    Then the worth of what is served is at least 0.89
    And no kind of request is served less often than a less urgent one by over 5 in 100

    Examples:
      | pattern                 |
      | usual                   |
      | near-full               |
      | slow-targets            |
      | cold-after-a-power-loss |

  Scenario: At twice the usual load what is urgent goes on
    When 5 s of the load pattern "twice-the-usual" are played
    Then no kind of request is served less often than a less urgent one by over 5 in 100

  Scenario: A pattern is played the same way each time
    When 2 s of the load pattern "refusing-feed" are played
    Then another play of it ends in the same way
