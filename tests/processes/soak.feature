@alone
Feature: Faults drawn from a seed violate no guarantee

  Scenario Outline: Seed <seed>
    Then the soak of seed <seed> with 4 VMs and 5 s of faults violates no guarantee

    Examples:
      | seed |
      | 4    |
      | 11   |
