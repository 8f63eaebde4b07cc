Feature: Slots at the owner of a target

  Scenario: The slot of a cancelled request is reused only when the target has seen its end
    Given an owner with 1 slot
    When attempt "first" runs and attempt "second" waits
    And the client of "first" disconnects
    Then "second" is sent after at least 0.02 s, and then at once

  # Guards against a request that is cut at its target, as the process of its
  # owner, which stops, took it too late.
  Scenario Outline: An owner whose process ends soon takes only what it can finish
    Given an owner with 1 slot whose executions take 0.5 s
    When its process ends in <left> s
    Then it <takes> an attempt of another node

    Examples:
      | left | takes   |
      | 5    | takes   |
      | 2.2  | takes   |
      | 1.6  | refuses |
      | 0.1  | refuses |

  # Guards against a queued request that is sent to its target so late that the
  # process ends while it runs.
  Scenario Outline: An attempt that has waited is sent only if it can end in time
    Given an owner with 1 slot whose executions take 0.5 s
    When attempt "first" runs and attempt "second" waits
    And its process ends in <left> s and clients have learned of it
    And the target refuses "first"
    Then the target has <received> "second" from its queue

    Examples:
      | left | received |
      | 5.8  | received |
      | 2.5  | received |
      | 2.2  | missed   |
      | 0.4  | missed   |

  Scenario: A slot is reused at once when the target has answered
    Given an owner with 1 slot
    When attempt "first" runs and attempt "second" waits
    And the target answers "first"
    Then "second" is sent at once
