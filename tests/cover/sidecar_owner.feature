Feature: Slots at the owner of a target

  Scenario: The slot of a cancelled request is reused only when the target has seen its end
    Given an owner with 1 slot
    When attempt "first" runs and attempt "second" waits
    And the client of "first" disconnects
    Then "second" is sent after at least 0.02 s, and then at once

  Scenario: A slot is reused at once when the target has answered
    Given an owner with 1 slot
    When attempt "first" runs and attempt "second" waits
    And the target answers "first"
    Then "second" is sent at once
