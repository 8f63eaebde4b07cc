Feature: The owner beside a target

  Background:
    Given an owner with one slot whose target works until told to end

  Scenario: A caller that leaves twice doesn't take another caller's answer
    When a call without a key runs
    And two callers send the same key and the first one leaves twice
    And the target ends every call
    Then the last caller is told "ran"
    And the target was given 2 calls

  Scenario: A slot stays taken for a while after a connection broke
    When a call without a key runs
    And a call without a key waits
    And the connection of the running call breaks
    Then the first caller is told "may-have-run"
    And the target was given 1 calls
    When the grace of a broken connection has passed
    Then the target was given 2 calls

  Scenario: A key stays good when its owner takes a higher incarnation
    When a call with a key and 30 s left runs
    And the owner takes incarnation 7
    And a second caller sends the same key
    And the target ends every call
    Then the last caller is told "ran"
    And the target was given 1 calls
    And new keys carry incarnation 7

  Scenario: Two processes that took the same incarnation share no key
    When a call with a key and 30 s left runs
    And the key comes to another process of the same id and incarnation
    Then the last caller is told "may-have-run"
    And the target was given 1 calls

  Scenario: A caller is answered at its deadline and a repeat gets the true end
    When a call with a key and 0.1 s left runs
    Then the first caller is told "may-have-run"
    When a second caller sends the same key
    And the target ends every call
    Then the last caller is told "ran"
    And the target was given 1 calls
