Feature: The page of proofs names what exists

  Scenario: Every scenario that docs/PROOFS.md names is in the tests
    Then each scenario of the page of proofs exists
