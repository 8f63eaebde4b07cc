Feature: Requests of the command line to the nodes of a fleet

  # Guards against a `config wait` that goes on for minutes: a request that times
  # out at the moment of its cancellation reports the timeout only, so that its
  # worker went on with the next node.
  Scenario: Requests that hide their cancellation don't prolong the time limit
    Given a fleet of 1300 nodes that never answer and hide a cancellation
    When their statuses are requested for at most 1 s
    Then the result is there after 1 s
    And every node counts as silent or as not reached
