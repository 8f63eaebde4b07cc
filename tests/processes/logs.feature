@shared_fleet @data_centres.1 @copies.1 @log_level.debug
Feature: Logs, probes and metrics of a node

  Scenario: The id of a call is logged by every node that handles the call
    When call "trace-7" reads "desk" through "feed-bergen-1"
    Then within 5 s the log of "feed-bergen-1" has a record with {"message_type": "call", "call_id": "trace-7"}
    And within 5 s the log of "desk-bergen-1" has a record with {"message_type": "attempt", "call_id": "trace-7"}

  Scenario: Keys and bodies are not logged
    When a caller publishes to "desk" through "feed-bergen-1" with key "hidden-key"
    Then no log holds "hidden-key"

  Scenario: The application of a version is logged as an action
    Then within 5 s the log of "desk-bergen-1" has a record with {"action_type": "apply", "action_status": "succeeded"}

  Scenario: A drained node is alive but not ready
    When an operator drains "desk-bergen-1"
    Then "desk-bergen-1" answers "/healthz" with status 200
    And "desk-bergen-1" answers "/readyz" with status 503
    When an operator undrains "desk-bergen-1"
    Then "desk-bergen-1" answers "/readyz" with status 200

  Scenario: Every series has a help text that gives its unit
    Then every series of "desk-bergen-1" has a help text and a type

  Scenario: Every gauge has a value
    Then every gauge of "desk-bergen-1" has a value

  Scenario: The death of a member is logged
    When node "feed-bergen-1" is killed
    Then within 19 s the log of "desk-bergen-1" has a record with {"message_type": "death", "node": "feed-bergen-1"}

  Scenario: The status leaves out the members on request
    Then the status of "desk-bergen-1" at "/status" lists members
    And the status of "desk-bergen-1" at "/status?members=no" lists no members
