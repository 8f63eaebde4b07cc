Feature: Heartbeats that introduce a target are verified by a health check

  Background:
    Given a node without knowledge of its target

  # Guards against a target that has left and gets requests again, as a late
  # heartbeat reaches a process that does not know of the departure.
  Scenario: A target is ready once its health check has passed
    When a heartbeat of "t1" with sequence 7 arrives
    Then the target is not in service
    When the health check of "t1" passes
    Then the target is in service

  Scenario: The health check of another target verifies nothing
    When a heartbeat of "t1" with sequence 7 arrives
    And the health check of "t2" passes
    Then the target is not in service

  Scenario: Further heartbeats of a verified target count at once
    When a heartbeat of "t1" with sequence 7 arrives
    And the health check of "t1" passes
    And a heartbeat of "t1" with sequence 8 and 6 slots arrives
    Then the target is in service with 6 slots

  Scenario: A heartbeat that reports the drain needs no verification
    When a draining heartbeat of "t1" with sequence 7 arrives
    Then the target is draining

  # Guards against a check that passes just before the departure.
  Scenario Outline: A departure between the heartbeat and its verification binds
    When a heartbeat of "t1" with sequence 7 arrives
    And "t1" deregisters with <start>
    And 20 s later the health check of "t1" passes
    Then the target is not in service

    Examples:
      | start        |
      | its start    |
      | no start     |
      | a bad body   |

  # Guards against a departure that binds for some seconds only, as the process
  # has not heard the target before it.
  Scenario: A departure that names the start of the target binds for good
    When "t1" deregisters with its start
    And 6.5 s later a heartbeat of "t1" with sequence 7 arrives
    And the health check of "t1" passes
    Then the target is not in service

  Scenario: The same for a target that only a health check has found
    When a health check finds "t1"
    And "t1" deregisters with its start
    And 6.5 s later a heartbeat of "t1" with sequence 7 arrives
    And the health check of "t1" passes
    Then the target is not in service

  Scenario: A departure of an earlier process does not bind the current one
    When a heartbeat of "t1" with sequence 7 arrives
    And the health check of "t1" passes
    And "t1" deregisters with an earlier start
    Then the target is in service

  # Guards against a target that stays out of service after a restart of its
  # node since its health check fails, and against late heartbeats that count.
  Scenario Outline: Heartbeats count without a check once they can't be late
    When heartbeats of "t1" arrive each 1.5 s for <time> s
    Then the target <is> in service

    Examples:
      | time | is     |
      | 9    | is not |
      | 10.5 | is     |

  Scenario: One heartbeat that comes again and again proves nothing
    When a heartbeat of "t1" with sequence 7 arrives each 1.5 s for 30 s
    Then the target is not in service

  # Guards against a target that left and comes back under the id of its
  # successor, by a heartbeat that was under way.
  Scenario: A late heartbeat of another target does not replace the current one
    When a heartbeat of "t1" with sequence 7 arrives
    And the health check of "t1" passes
    And a heartbeat of "t0" with sequence 9 arrives
    And the health check of "t1" passes
    Then the target is in service as "t1"
