Feature: Outcomes that an owner retains for entry nodes

  Scenario: An outcome that was queried survives the end of the old connection
    Given an attempt runs at an owner and its outcome is queried anew
    When the owner notices that the first connection has ended
    And the attempt ends
    Then the outcome is sent on the second connection

  # An owner retains 2,000 outcomes, which a busy one exceeds within 5 s.
  Scenario: An owner that has dropped recent outcomes proves nothing
    Given an attempt has run at an owner and its connection was lost
    When 2000 other attempts end
    Then a query of it is answered "may-have-run"

  Scenario: An owner that has dropped no recent outcomes proves that nothing ran
    Given an attempt has run at an owner and its connection was lost
    When 1999 other attempts end
    Then a query of it is answered "ran"
    And a query of an unknown attempt is answered "not-run"

  Scenario: Dropped outcomes matter for as long as they would be retained
    Given an attempt has run at an owner and its connection was lost
    When 2000 other attempts end
    And the owner retains outcomes for 6 s more
    Then a query of an unknown attempt is answered "not-run"
