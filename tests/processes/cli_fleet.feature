@own_fleet @data_centres.1 @copies.1
Feature: Waiting until every node enforces a version

  Scenario: Nodes that are behind or do not answer are listed
    When the operator runs on the fleet "config wait --version 1 --timeout 19"
    Then the exit code is 0 and the output contains "2 of 2 nodes enforce version 1"
    When the operator runs on the fleet "config wait --version 2 --timeout 0.5 --output json"
    Then the exit code is 7 and the output contains ""behind":["desk-bergen-1","feed-bergen-1"]"
    And standard error is one line with "2 nodes are behind" and "config wait"
    When node "feed-bergen-1" is killed
    And the operator runs on the fleet "config wait --version 1 --timeout 19"
    Then the exit code is 0 and the output contains "feed-bergen-1"
    And the output contains "does not answer"
    When the operator runs on the fleet "status --output json"
    Then the exit code is 0 and the output contains ""feed-bergen-1":null"
    When the operator runs on the fleet "drain --node ADMIN --output json"
    Then the exit code is 0 and the output contains ""draining":true"
    When the operator runs on the fleet "undrain --node ADMIN"
    Then the exit code is 0 and the output contains "accepts calls"
