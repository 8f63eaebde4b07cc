Feature: The pages name what the code has, and their links lead somewhere

  Scenario Outline: Each of the <names> has a row of its own
    Then the rows of "<page>" under "<heading>" are the <names>
    And a page without any one of the <names> would fail

    Examples:
      | names        | page                              | heading       |
      | fetch faults | docs/operators/cut-data-centre.md | How to see it |
      | settings     | docs/operators/settings.md        | Keys          |
      | series       | docs/operators/counters.md        | Series        |
      | reasons      | docs/operators/counters.md        | Reasons       |
      | exit codes   | docs/operators/exit-codes.md      | Codes         |
      | commands     | docs/operators/commands.md        | Commands      |

  Scenario: The page of settings gives the defaults of the code
    Then each row of the settings gives the default, or says "required"
    And the example of the settings has every key and can be read

  Scenario: The page of reasons gives the HTTP status of each verdict
    Then each row of the reasons gives the statuses of its verdicts

  Scenario: Every group and command has an example, every option a help text
    Then no group or command lacks an example
    And no option of any command lacks a help text

  Scenario: Every relative link points at a file
    Then every relative link of every page leads to a file or a folder
