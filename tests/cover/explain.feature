Feature: Trace of one request from log lines

  Scenario: The lines of all nodes are merged in order of time
    Given log lines
      | node | at    | type             | request | reason       |
      | a1   | 10.2  | request-answered | r1      | target-broke |
      | b2   | 10.1  | attempt-ended    | r1      | target-broke |
      | a1   | 10.15 | request-answered | r2      | served       |
      | a1   | 10.12 | request-answered | r1.c    | served       |
      | a1   | 9.0   | version-in-force |         |              |
      | a1   | 2.0   | version-in-force |         |              |
    When "r1" is explained
    Then the trace is "attempt-ended b2, request-answered a1, request-answered a1"
    When "r1" is explained with 5 s before
    Then the trace is "version-in-force a1, attempt-ended b2, request-answered a1, request-answered a1"

  Scenario: A request that was not logged is reported as such
    Given log lines
      | node | at   | type             | request | reason |
      | a1   | 10.2 | request-answered | r1      | served |
    When "r9" is explained
    Then the command exits with code 1 and prints "only a sample is logged"

  Scenario: Notable requests outside the sample are logged up to a rate limit
    Then of 10000 refused requests in a second at most 80 outside the sample are logged and the rest is counted
    And of 10000 served requests one in 128 is logged, the same at each node

  Scenario Outline: The examples of the operators' page on recorded lines
    When "<request>" is explained from "ringnett-scale-2.log" with "<options>"
    Then the trace contains "<kinds>" with "<details>"

    Examples:
      | request          | options                  | kinds                                              | details                               |
      | f40332ea2a3997d6 |                          | request-answered                                   | status=503 reason=queue-full sent=0   |
      | e19218b524c7ce0c |                          | attempt-ended, request-answered                    | status=502 reason=target-broke sent=1 |
      | 5cff5f8aad50ada2 | --before 0.3 --after 0.1 | version-in-force, request-refused, version-in-force | reason=unknown-route version=4        |
