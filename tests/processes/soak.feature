@alone
Feature: Faults drawn by a seed break no promise

  Scenario Outline: Seed <seed>
    Then the soak of seed <seed> with 4 VMs and 5 s of faults breaks no promise

    Examples:
      | seed |
      | 4    |
      | 11   |
