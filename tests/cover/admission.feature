Feature: Admission of calls to one target

  Scenario: An urgent call evicts a bulk call from a full queue
    Given a target with 1 slots and a queue limit of 4
    When at 0 s calls "normal bulk bulk bulk bulk" with 10 s left are offered
    And at 0.001 s calls "urgent" with 10 s left are offered
    Then the actions are "start 1, refuse 5 evicted"

  Scenario: A bulk call is started under a constant load of urgent calls
    Given a target with 1 slots and a queue limit of 40
    When at 0 s calls "normal bulk" with 100 s left are offered
    And 40 times an urgent call is offered and the running call ends
    Then the actions include "start 2"

  Scenario: The expected wait of an urgent call counts only calls ahead of it
    Given a target with 1 slots and a queue limit of 40
    When at 0 s calls "bulk bulk bulk bulk bulk bulk bulk bulk" with 10 s left are offered
    And at 0.001 s calls "urgent" with 0.015 s left are offered
    Then the actions are "start 1"

  Scenario: A slot stays occupied after the caller has been answered
    Given a target with 1 slots and a queue limit of 4
    When at 0 s calls "normal" with 1 s left are offered
    And at 0.5 s calls "normal" with 9 s left are offered
    And at 1 s deadlines are checked
    Then the actions are "start 1, abandon 1 target-timeout"
    When at 3 s the target ends call 1
    Then the actions are "start 1, abandon 1 target-timeout, start 2"

  Scenario Outline: A cancelled or expired call is not started
    Given a target with 1 slots and a queue limit of 4
    When at 0 s calls "normal normal" with 1 s left are offered
    And <event>
    And at 1.5 s the target ends call 1
    Then the actions are "<actions>"

    Examples:
      | event                          | actions                                                     |
      | call 2 is cancelled            | start 1, refuse 2 cancelled                                 |
      | at 1 s deadlines are checked   | start 1, refuse 2 deadline-passed, abandon 1 target-timeout |
      | at 0.1 s deadlines are checked | start 1, refuse 2 deadline-passed                           |

  Scenario: Limits are lowered below the running and queued calls
    Given a target with 3 slots and a queue limit of 4
    When at 0 s calls "normal normal normal urgent bulk" with 9 s left are offered
    And at 1 s the limits become 1 slot and a queue limit of 1
    And at 2 s the target ends call 1
    And at 2 s the target ends call 2
    Then the actions are "start 1, start 2, start 3, refuse 5 evicted"
    When at 2 s the target ends call 3
    Then the actions are "start 1, start 2, start 3, refuse 5 evicted, start 4"

  Scenario: A caller that retries after the given delay is admitted
    Then each of 300 callers is admitted, at once or on its retry

  Scenario: Random events keep the rules
    Then random events never violate an invariant of admission

  Scenario: Urgent calls meet their deadlines at twice the capacity
    When 0.4 urgent, 0.8 normal, 0.8 bulk load is offered
    Then every urgent call is served before its deadline
    And at least 0.05 of the capacity serves bulk calls
    And the running calls never exceeded the slots

  @golden
  Scenario: A trace of admission
    Then the trace of admission matches its golden file
