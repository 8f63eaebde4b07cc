Feature: Slots at the owner of a target

  Scenario: A slot is passed on only when the target has seen the end of its request
    Given an owner with 1 slot
    When attempt "first" runs and attempt "second" waits
    And the client of "first" leaves
    Then "second" is sent not before 0.02 s later, and then at once

  Scenario: A slot is passed on at once when the target has answered
    Given an owner with 1 slot
    When attempt "first" runs and attempt "second" waits
    And the target answers "first"
    Then "second" is sent at once
