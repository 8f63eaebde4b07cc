Feature: Admission of calls to one target

  Scenario: An urgent call takes the place of a bulk call in a full queue
    Given a target of 1 at a time and a queue of 4
    When at 0 s calls "normal bulk bulk bulk bulk" with 10 s left are offered
    And at 0.001 s calls "urgent" with 10 s left are offered
    Then the actions are "start 1, refuse 5 evicted"

  Scenario: A bulk call is served while urgent calls never end
    Given a target of 1 at a time and a queue of 40
    When at 0 s calls "normal bulk" with 100 s left are offered
    And 40 times an urgent call is offered and the running call ends
    Then the actions include "start 2"

  Scenario: The wait of an urgent call counts only what goes before it
    Given a target of 1 at a time and a queue of 40
    When at 0 s calls "bulk bulk bulk bulk bulk bulk bulk bulk" with 10 s left are offered
    And at 0.001 s calls "urgent" with 0.015 s left are offered
    Then the actions are "start 1"

  Scenario: A slot stays taken after the caller was answered
    Given a target of 1 at a time and a queue of 4
    When at 0 s calls "normal" with 1 s left are offered
    And at 0.5 s calls "normal" with 9 s left are offered
    And at 1 s deadlines are looked at
    Then the actions are "start 1, abandon 1 target-timeout"
    When at 3 s the call 1 ends
    Then the actions are "start 1, abandon 1 target-timeout, start 2"

  Scenario Outline: Work that nobody waits for is not started
    Given a target of 1 at a time and a queue of 4
    When at 0 s calls "normal normal" with 1 s left are offered
    And <event>
    And at 1.5 s the call 1 ends
    Then the actions are "<actions>"

    Examples:
      | event                         | actions                                                      |
      | call 2 is cancelled           | start 1, refuse 2 cancelled                                  |
      | at 1 s deadlines are looked at | start 1, refuse 2 deadline-passed, abandon 1 target-timeout |
      | at 0.1 s deadlines are looked at| start 1, refuse 2 deadline-passed                            |

  Scenario: Limits that fall below what runs and waits
    Given a target of 3 at a time and a queue of 4
    When at 0 s calls "normal normal normal urgent bulk" with 9 s left are offered
    And at 1 s the limits fall to 1 slot and a queue of 1
    And at 2 s the call 1 ends
    And at 2 s the call 2 ends
    Then the actions are "start 1, start 2, start 3, refuse 5 evicted"
    When at 2 s the call 3 ends
    Then the actions are "start 1, start 2, start 3, refuse 5 evicted, start 4"

  Scenario: Who comes back when told to is let in
    Then of 300 callers all come in, at once or when told to come back

  Scenario: Random events keep the rules
    Then random events never break a rule of admission

  Scenario: Urgent calls stay in time at twice the capacity
    When 0.4 urgent, 0.8 normal, 0.8 bulk load is offered
    Then every urgent call is served in time
    And at least 0.05 of the capacity serves bulk calls
    And no more calls than slots ever ran

  @golden
  Scenario: A session of admission
    Then the session of admission is as in its golden file
