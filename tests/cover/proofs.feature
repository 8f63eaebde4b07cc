Feature: The pages of proofs and capacity match the tests and records

  Scenario: Every scenario that docs/PROOFS.md names is in the tests
    Then each scenario that docs/PROOFS.md names exists

  Scenario: docs/CAPACITY.md follows from the recorded slopes
    Then docs/CAPACITY.md is unchanged when its table is regenerated
