Feature: The pages of proofs and capacity say what the tree holds

  Scenario: Every scenario that docs/PROOFS.md names is in the tests
    Then each scenario of the page of proofs exists

  Scenario: docs/CAPACITY.md is what the recorded slopes give
    Then the page of capacity is the same when it is made anew
