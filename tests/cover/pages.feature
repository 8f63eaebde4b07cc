Feature: The documentation matches the code and its links are valid

  Scenario Outline: Each of the <names> has its own row
    Then the rows of "<page>" under "<heading>" are the <names>
    And the check fails if any one of the <names> is missing

    Examples:
      | names        | page                              | heading       |
      | fetch faults | docs/operators/cut-data-centre.md | How to see it |
      | settings     | docs/operators/settings.md        | Keys          |
      | series       | docs/operators/counters.md        | Series        |
      | reasons      | docs/operators/counters.md        | Reasons       |
      | exit codes   | docs/operators/exit-codes.md      | Codes         |
      | commands     | docs/operators/commands.md        | Commands      |

  Scenario: The page of settings has the defaults of the code
    Then each row of the settings has the default or "required"
    And the example of the settings has every key and is valid

  Scenario: The page of reasons has the HTTP status of each verdict
    Then each row of the reasons has the statuses of its verdicts

  Scenario: Every group and command has an example, every option a help text
    Then every group and command has an example
    And every option of every command has a help text

  Scenario: Every relative link points to a file or folder
    Then every relative link of every page points to a file or folder
