Feature: A node sends what has changed, where it knows the base

  Scenario: Deltas restore the bytes
    Then a chain of deltas makes the same bytes in 300 random trees

  Scenario: Payloads are read by their entries
    Then 300 random payloads are read as their trees are
    And a large document and its faults are those of the whole payload

  Scenario: A change is checked as strictly as a whole document
    Then the check of what changed agrees in 600 random deltas

  Scenario Outline: The answer depends on the base
    Given a node that enforces version 1
    When "one" announces version 2
    And the fetch of "one" brings version 2
    And "one" announces version 3
    And the fetch of "one" brings version 3
    And a peer that has version <base> pulls from it
    Then the answer is a <kind>
    And the third pull at once is sent on to one that was served

    Examples:
      | base | kind     |
      | 2    | delta    |
      | 1    | delta    |
      | 0    | snapshot |

  @golden
  Scenario Outline: A session of three nodes: <script>
    Then the session of a <script> is that of the golden file "<name>"

    Examples:
      | script       | name                      |
      | publish      | distribution_publish      |
      | bad version  | distribution_bad_version  |
      | cut and heal | distribution_cut_and_heal |
