Feature: The owner beside a target

  Background:
    Given an owner with one slot and a target whose calls run until ended

  Scenario: A repeated cancellation does not cancel the call of another caller
    When a call without a key runs
    And two callers send the same key and the first one cancels twice
    And the target ends every call
    Then the last caller gets the verdict "ran"
    And the target has received 2 calls

  Scenario: A slot stays occupied for a grace period after a broken connection
    When a call without a key runs
    And a call without a key waits
    And the connection of the running call breaks
    Then the first caller gets the verdict "may-have-run"
    And the target has received 1 calls
    When the grace period of a broken connection has passed
    Then the target has received 2 calls

  Scenario: A key stays valid when the incarnation of its owner is raised
    When a call with a key and 30 s left runs
    And the incarnation of the owner is raised to 7
    And a second caller sends the same key
    And the target ends every call
    Then the last caller gets the verdict "ran"
    And the target has received 1 calls
    And new keys carry incarnation 7

  Scenario: Two processes with the same incarnation do not share keys
    When a call with a key and 30 s left runs
    And the key is sent to another process of the same id and incarnation
    Then the last caller gets the verdict "may-have-run"
    And the target has received 1 calls

  Scenario: A caller is answered at its deadline and a repeat gets the result
    When a call with a key and 0.1 s left runs
    Then the first caller gets the verdict "may-have-run"
    When a second caller sends the same key
    And the target ends every call
    Then the last caller gets the verdict "ran"
    And the target has received 1 calls
