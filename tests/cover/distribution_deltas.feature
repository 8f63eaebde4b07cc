Feature: A node sends a delta if it has the base version

  Scenario: Deltas reproduce the bytes of a version
    Then a chain of deltas gives the same bytes for 300 random trees

  Scenario: Payloads are decoded by entry
    Then the index of 300 random payloads equals that of their trees
    And a large document and its faults equal those of the whole payload

  Scenario: A change is checked as strictly as a whole document
    Then incremental checks equal full checks in 600 random deltas

  Scenario Outline: The answer depends on the base
    Given a node that enforces version 1
    When "one" announces version 2
    And the fetch from "one" returns version 2
    And "one" announces version 3
    And the fetch from "one" returns version 3
    And a peer that has version <base> pulls from it
    Then the answer is a <kind>
    And the third concurrent pull is redirected to a peer that was served

    Examples:
      | base | kind     |
      | 2    | delta    |
      | 1    | delta    |
      | 0    | snapshot |

  @golden
  Scenario Outline: A trace of three nodes: <script>
    Then the trace of a <script> matches the golden file "<name>"

    Examples:
      | script       | name                      |
      | publish      | distribution_publish      |
      | bad version  | distribution_bad_version  |
      | cut and heal | distribution_cut_and_heal |
