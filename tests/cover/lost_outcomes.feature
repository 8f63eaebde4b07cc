Feature: Outcomes of attempts whose connection was lost

  # A saturated link closes a connection and delays the next one: a client that
  # is told "may have run" can't repeat an order.
  Scenario Outline: The outcome is queried until the owner can be reached again
    Given an attempt that must not run twice is sent to an owner
    When the connection is lost, and <failed> connections fail before one opens
    And the owner answers the query that it has <answer>
    Then the attempt ends as "<outcome>"

    Examples:
      | failed | answer  | outcome     |
      | 0      | not run | not-run     |
      | 2      | not run | not-run     |
      | 2      | run     | ran         |

  Scenario: A second loss does not end the queries
    Given an attempt that must not run twice is sent to an owner
    When the connection is lost, and 0 connections fail before one opens
    And the connection is lost, and 1 connections fail before one opens
    And the owner answers the query that it has not run
    Then the attempt ends as "not-run"

  Scenario: An owner that stays away is given up
    Given an attempt that must not run twice is sent to an owner
    When the connection is lost, and 99 connections fail before one opens
    Then the attempt ends as "may-have-run"

  Scenario: An attempt that may be repeated does not wait for its owner
    Given an attempt that may be repeated is sent to an owner
    When the connection is lost, and 1 connections fail before one opens
    Then the attempt ends as "may-have-run"

  # The owner retains outcomes for 5 s: without a record it can't tell.
  Scenario: An owner that has forgotten outcomes does not prove that nothing ran
    Given an attempt that must not run twice is sent to an owner
    When the connection is lost, and 0 connections fail before one opens
    And the owner answers 6 s after the attempt that it has not run
    Then the attempt ends as "may-have-run"

  Scenario: An attempt that is cancelled before it was written never runs
    When an attempt waits for a connection that does not open
    Then its cancellation says that it was not sent

  Scenario: An attempt that is cancelled after it was written may run
    Given an attempt that must not run twice is sent to an owner
    Then its cancellation says that it was sent

  # A released attempt goes to another owner, to which a connection is opened
  # while the silent ones are checked.
  Scenario: Checks of silent owners go on after an attempt was released
    Given an attempt that may be repeated is sent to an owner
    When the owner is silent for 1 s and the attempt goes to another owner
    Then silent owners are still checked
