Feature: The command line interface of the configuration

  Background:
    Given a platform
    And the files of an operator

  Scenario: Defaults and exceptions are changed and read
    Then these commands succeed, one after another
      | command                                        | output contains                 |
      | config publish fleet.json --change-id first    | version 1 accepted              |
      | config default set deadline_ms 9000            | version 2 accepted              |
      | config exception add slow --service desk --setting deadline_ms --value 20000 --reason 'archive moves' --owner ana | version 3 accepted |
      | exception add few --service feed --setting slots --value 4 --reason 'cold disks' --owner bo --output json | "version":4 |
      | config diff 1 4                                | defaults.deadline_ms            |
      | config diff 1 4                                | 10000                           |
      | config diff 1 4                                | exceptions.slow                 |
      | config publish fleet.json --change-id first    | version 1 accepted              |
      | config diff --output json                      | "place":"exceptions.few"        |
      | config diff 4 fleet.json                       | exceptions.few                  |
      | exception retire slow                          | version 5 accepted              |
      | config history                                 | exception add slow              |
      | config history                                 | first                           |
      | config history --output json --limit 1         | "summary":"exception retire slow" |
      | config show                                    | "deadline_ms": 9000             |
      | config show --version 1                        | "deadline_ms": 10000            |
      | config show --output table                     | cold disks                      |

  Scenario Outline: An error is one line with a next step
    Given the operator has run "config publish fleet.json --change-id first"
    When the operator runs "<command>"
    Then the exit code is <code>
    And standard error is one line with "<text>" and "<next step>"

    Examples:
      | command                                              | code | text                    | next step         |
      | config publish fleet.json --base 0                   | 3    | change first            | config show       |
      | config publish other.json                            | 2    | --base                  | newest one is 1   |
      | config publish fleet.json --base 9                   | 2    | base version 9          |                   |
      | config publish broken.json                           | 6    | exceptions.e1.reason    | config validate   |
      | config publish other.json --change-id first --base 1 | 3    | change id first         | another change id |
      | config publish fleet.json --change-id a/b            | 2    | 'a/b'                   |                   |
      | config publish missing.json                          | 2    | missing.json            | --help            |
      | config default set colour blue                       | 2    | 'colour'                | deadline_ms       |
      | config default set max_attempts 0                    | 6    | defaults.max_attempts   | config validate   |
      | config default set call_class slow                   | 6    | defaults.call_class     | config validate   |
      | config default set spill 1                           | 6    | defaults.spill          | config validate   |
      | exception retire nowhere                             | 2    | 'nowhere'               |                   |
      | exception add x --service desk --setting slots --value 11 --reason r --owner o | 6 | from 2 to 10 | config validate |
      | exception add x --service desk --setting spill --value false --reason r --owner o --ends 2020-01-01 | 6 | exceptions.x.ends | config validate |
      | config show --version 7                              | 2    | version 7               | history           |
      | config diff 1 7                                      | 2    | version 7               | history           |
      | config diff 1 nowhere                                | 2    | 'nowhere'               |                   |
      | config colour                                        | 2    | 'colour'                | --help            |
      | status --node localhost                              | 2    | 'localhost'             | --help            |
      | status --node 127.0.0.1:1                            | 4    | 127.0.0.1:1             |                   |

  Scenario: A file is checked before it is published
    Given the operator has run "config publish fleet.json --change-id first"
    When the operator runs "config check fleet.json"
    Then the exit code is 0 and the output contains "same as version 1"
    When the operator runs "config check other.json"
    Then the exit code is 0 and the output contains "defaults.spill"
    And the output contains "differences from version 1"
    When the operator runs "config check broken.json"
    Then the exit code is 6 and the output contains "exceptions.e1.reason"
    When the operator runs "config check doubtful.json --output json"
    Then the exit code is 9 and the output contains "limit_classes.unused"
    And the output contains ""version":1"
    And standard error is one line with "1 doubt" and "check it again"

  Scenario: Every fault of a file is reported with its place
    When the operator runs "config validate broken.json"
    Then the exit code is 6 and the output contains "exceptions.e1.reason"
    And the output contains "defaults.max_attempts"
    And standard error is one line with "2 faults" and "broken.json"
    When the operator runs "config validate broken.json --output json"
    Then the exit code is 6 and the output contains ""place":"defaults.max_attempts""
    When the operator runs "config validate fleet.json"
    Then the exit code is 0 and the output contains "ok"

  Scenario Outline: An outage is told as what it is
    Given the platform has the faults <faults>
    When the operator runs "config publish fleet.json --retry-for 0 <option>"
    Then the exit code is <code>
    And standard error is one line with "<text>" and "--change-id"
    When the platform has no faults
    And the operator runs "config publish fleet.json --change-id c1"
    Then the exit code is 0 and the output contains "version 1 accepted"

    Examples:
      | faults                                                 | option         | code | text                  |
      | {"down": true}                                         |                | 4    | nothing was published |
      | {"down": true}                                         | --change-id c1 | 4    | this attempt          |
      | {"lose_after": 1, "lose_replies": 1, "serve_first": 6} | --change-id c1 | 5    | may have been         |
      | {"lose_after": 1, "lose_replies": 1, "serve_first": 6} | --change-id c1 --retry-for 1 | 5    | may have been         |

  Scenario Outline: A query during an outage prints one line
    Given the platform has the faults <faults>
    When the operator runs "<command>"
    Then the exit code is 4
    And standard error is one line with "no usable answer" and "try again"

    Examples:
      | faults            | command        |
      | {"down": true}    | config show    |
      | {"down": true}    | config diff    |
      | {"garbage": true} | config history |

  Scenario: A publish is retried under its change id during a short outage
    Given the platform has the faults {"lose_after": 1, "lose_replies": 1, "serve_first": 6}
    And the platform recovers after 1.5 s
    When the operator runs "config publish fleet.json --retry-for 10"
    Then the exit code is 0 and the output contains "version 1 accepted"
    When the operator runs "config history --output json"
    Then the output contains ""version":1"
    And the output does not contain ""version":2"

  Scenario: An edit can be repeated safely
    Then these commands succeed, one after another
      | command                                             | output contains    |
      | config publish fleet.json                           | version 1 accepted |
      | config default set deadline_ms 9000 --change-id c2  | version 2 accepted |
      | config default set deadline_ms 8000                 | version 3 accepted |
      | config default set deadline_ms 9000 --change-id c2  | version 2 accepted |
    When the operator runs "config default set deadline_ms 7000 --base 2"
    Then the exit code is 3

  Scenario: Ctrl-C ends a command cleanly
    Given the platform has the faults {"delay_s": 30}
    When the operator interrupts "config publish fleet.json --change-id c1"
    Then the exit code is 130
    And standard error is one line with "interrupted" and "--change-id c1"

  Scenario: Every command has help with an example
    Then the help of every command has an example with the command's name

  Scenario: The shell completes command names
    When the shell requests completions of "guavawing config ex"
    Then the exit code is 0 and the output contains "exception"

  Scenario: Colour is used only on a terminal
    Given the operator has run "config publish fleet.json"
    And the operator has run "config default set deadline_ms 9000"
    When the operator runs "config diff"
    Then the output has no colour
    When the operator runs "config diff" on a terminal
    Then the output has colour

  Scenario: Progress is shown on a terminal only
    Given the platform has the faults {"down": true}
    When the operator runs "config publish fleet.json --retry-for 0.5" on a terminal
    Then the exit code is 4 and the output contains "trying again"
    When the operator runs "config publish fleet.json --retry-for 0.5"
    Then standard error is one line with "nothing was published" and "--change-id"

  Scenario: The exit codes are documented
    Then the rows of "docs/operators/exit-codes.md" under "Codes" are the exit codes
