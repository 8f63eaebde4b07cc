@shared_fleet @data_centres.1 @copies.1
Feature: Listeners bound their connections and pass bodies on unchanged

  Scenario: A compressed body reaches the target in its compressed form
    When a caller sends "desk" a compressed body through "feed-bergen-1"
    Then the target has decompressed exactly what the caller compressed

  Scenario: Connections beyond the bound are closed
    When 80 connections are opened to the admin address of "desk-bergen-1", and at most 64 stay open
    Then "feed-bergen-1" answers "/healthz" with status 200
    And "desk-bergen-1" answers "/healthz" with status 200

  Scenario: A node listens only at the addresses in its settings
    Then "desk-bergen-1" listens at exactly its addresses
