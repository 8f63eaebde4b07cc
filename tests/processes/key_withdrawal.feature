@alone
Feature: Withdrawn keys end in time at every node

  Background:
    Given VMs of two data centres where withdrawn keys end within 2.5 s
      | vm | data centre | service |
      | a1 | bergen      | desk    |
      | a2 | bergen      | desk    |
      | a3 | bergen      | feed    |
      | b1 | voss        | desk    |
    And version 2 with the client accounts
      | name  | keys            |
      | shop  | key-one key-two |
      | other | key-three       |
    And all VMs have version 2
    And within 3 s all VMs serve the key "key-one"

  # Guards against a proof that counts from the arrival of an answer.
  Scenario: A node that was frozen while a key was withdrawn
    When the daemon of "a1" is frozen
    And version 3 has the client accounts
      | name  | keys      |
      | shop  | key-two   |
      | other | key-three |
    And 2.6 s later a client on "a1" sends a request with the key "key-one"
    And the daemon of "a1" goes on
    Then that request gets 401 or 503 and no target executes it
    And within 2 s all VMs refuse the key "key-one" with 401
    And within 2 s all VMs serve the key "key-two"
    And no key is in the output or the metrics of a daemon

  Scenario: The store turns VMs away while an account loses all keys
    When the store refuses the VMs "a1 a2 b1"
    And version 3 has the client accounts
      | name  | keys      |
      | shop  |           |
      | other | key-three |
    Then for 6 s all VMs serve the key "key-three", but "key-one" only for 2.5 s
    And all VMs refuse the key "key-one" with 401

  Scenario: The store is unavailable, and comes back
    When the store is unavailable for 6 s
    # A proof is at most 0.8 of that time old when the store fails.
    Then for 0.5 s all VMs serve the key "key-one"
    And within 3 s all VMs refuse the key "key-one" with 503 and a Retry-After header
    And all VMs serve the public route
    And within 10 s all VMs serve the key "key-one"

  Scenario: A node that starts while the store turns it away
    When the store refuses the VMs "a1"
    And the daemon of "a1" is killed and started again
    Then within 10 s all VMs serve the key "key-one"
    And all VMs refuse the key "key-four" with 401
