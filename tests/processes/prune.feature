Feature: Operators remove old versions from the platform

  Background:
    Given a platform
    And the files of an operator
    And 14 versions that were published 30 days ago, and one of today

  Scenario: A dry run, a prune and the messages about pruned versions
    Then these commands succeed, one after another
      | command                                           | output contains                     |
      | config prune --keep-last 10 --dry-run             | 5 objects and 0 changes would be removed |
      | config show --version 1                           | "deadline_ms"                       |
      | config prune --keep-last 10                       | 5 objects and 0 changes removed     |
      | config prune --keep-last 10                       | 0 objects and 0 changes removed     |
      | config show --version 6                           | "deadline_ms"                       |
      | config history                                    | c1                                  |
      | config prune --keep-last 10 --keep-changes-days 7 --output json | "oldest_change":6,"objects":0,"changes":5 |
      | config history --limit 100                        | c6                                  |
    And the output does not contain "c5 "
    When the operator runs "config show --version 5"
    Then the exit code is 2
    And standard error is one line with "version 5 was pruned; the oldest version kept is 6" and "config history"
    When the operator runs "config diff 2 7"
    Then the exit code is 2
    When the operator runs "config diff 6 7"
    Then the exit code is 0 and the output contains "defaults.deadline_ms"
    When the operator runs "config prune --keep-last 9"
    Then the exit code is 2
    And standard error is one line with "--keep-last" and "--help"

  Scenario Outline: The platform fails in the middle
    Given the platform has the faults <faults>
    When the operator runs "config prune --keep-last 10"
    Then the exit code is <code>
    And standard error is one line with "so far <objects> objects" and "run it again"
    When the platform has no faults
    And the operator runs "config prune --keep-last 10 --output json"
    Then the exit code is 0 and the output contains ""objects":<rest>"
    When the operator runs "config show --version 6"
    Then the exit code is 0 and the output contains "deadline_ms"

    Examples:
      | faults                               | code | objects | rest |
      | {"down": true}                       | 4    | 0       | 5    |
      | {"serve_first": 10}                  | 4    | 1       | 4    |
      | {"lose_after": 0, "lose_replies": 1} | 5    | 0       | 5    |
      | {"lose_after": 2, "lose_replies": 1, "lost_status": 502} | 5    | 1       | 3    |
