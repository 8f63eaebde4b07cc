@alone
Feature: Quotas of client accounts on the platform

  Background:
    Given VMs of two data centres with quotas
      | vm | data centre | service |
      | a1 | bergen      | desk    |
      | a2 | bergen      | desk    |
      | a3 | bergen      | desk    |
      | b1 | voss        | desk    |
      | b2 | voss        | desk    |
    And version 2 with an account of 10 requests a second and a burst of 10
    And all VMs have version 2

  Scenario: Requests beyond the quota are refused with 429
    When clients on all VMs send 40 requests a second for 7 s
    Then no more run in any 5 s than the quota allows
    And at least 70 are served, and all others get 429 with a Retry-After header

  Scenario Outline: The holder of the quota fails at the peak
    When clients on all VMs send 40 requests a second for 8 s
    And after 3 s the holder of the quota in "bergen" is <failure> for 2 s
    Then no more run in any 5 s than the quota allows
    And at least 70 are served

    Examples:
      | failure |
      | killed  |
      | frozen  |
