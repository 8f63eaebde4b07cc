@shared_fleet @data_centres.2 @copies.1
Feature: A call passes from a caller through nodes to a target

  Scenario Outline: A read is served through any node
    When a caller reads "<service>" through "<node>"
    Then the status is 200
    And the verdict is "ran" with reason "served"

    Examples:
      | service | node          |
      | desk    | desk-bergen-1 |
      | desk    | feed-bergen-1 |
      | feed    | desk-voss-1   |

  Scenario: A key that is sent again is executed once
    When a caller publishes to "desk" through "feed-bergen-1" with key "thin-1"
    Then the verdict is "ran" with reason "served"
    When a caller publishes to "desk" through "feed-voss-1" with key "thin-1"
    Then the verdict is "ran" with reason "served"
    And its key was executed 1 time

  Scenario Outline: An invalid request is refused with its reason
    When a caller sends "<service>" a request with <fault> through "feed-voss-1"
    Then the status is <status>
    And the verdict is "not-run" with reason "<reason>"

    Examples:
      | service | fault                | status | reason           |
      | nowhere | no fault             | 404    | unknown-service  |
      | desk    | an unknown route     | 404    | unknown-route    |
      | desk    | no deadline          | 400    | missing-deadline |
      | desk    | a passed deadline    | 504    | deadline-passed  |
      | desk    | a malformed deadline | 400    | malformed-header |
      | desk    | a malformed depth    | 400    | malformed-header |
      | desk    | too large a body     | 413    | body-too-large   |
