@alone
Feature: Connections to the store that fall silent without a reset

  # Guards against versions that are late because nobody notices a silent feed.
  Scenario Outline: A version behind silent connections comes into force at every node
    Given VMs of two data centres behind a relay
      | vm | data centre | service |
      | a1 | bergen      | desk    |
      | a2 | bergen      | desk    |
      | a3 | bergen      | feed    |
      | b1 | voss        | desk    |
    And all VMs serve the probe of version 2 after their start
    When all connections to the store fall silent <after> s after version 3 is published
    And version 4 is published <pause> s later
    Then all VMs serve the probe of version 4 within 3 s

    Examples:
      | after | pause |
      | 0.7   | 0.1   |
      | 1.5   | 0.5   |
