Feature: Load patterns of a fleet of sidecars

  Scenario Outline: Requests are served in time while there is capacity
    When 5 s of the load pattern "<pattern>" are simulated
    Then the worth of the served requests is at least 0.89
    And no kind of request is served over 5 percentage points less often than a less urgent one

    Examples:
      | pattern                 |
      | usual                   |
      | near-full               |
      | slow-targets            |
      | cold-after-a-power-loss |
      | limited-desk            |

  Scenario: At twice the usual load urgent requests have priority
    When 5 s of the load pattern "twice-the-usual" are simulated
    Then no kind of request is served over 5 percentage points less often than a less urgent one

  Scenario: The simulation of a pattern is deterministic
    When 2 s of the load pattern "refusing-feed" are simulated
    Then another simulation of it gives the same result
