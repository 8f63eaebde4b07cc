@alone
Feature: Faults drawn from a seed violate no guarantee

  Scenario Outline: Seed <seed>
    Then the soak of seed <seed> with 4 VMs and 5 s of the earlier kinds of fault violates no guarantee

    Examples:
      | seed |
      | 4    |
      | 11   |

  Scenario: Limits, departures and restored stores among the faults of seed 101
    Then the soak of seed 101 with 4 VMs and 8 s of faults violates no guarantee

  Scenario: Uploads among the faults of seed 201
    Then the soak of seed 201 with 4 VMs, uploads and 8 s of faults violates no guarantee

  Scenario: Keys withdrawn and quotas used up among the faults of seed 301
    Then the soak of seed 301 with 4 VMs, accounts and 8 s of faults violates no guarantee

  # Guards against versions that are late behind silent connections.
  Scenario: Silent connections among the faults of seed 508
    Then the soak of seed 508 with 6 VMs and 10 s of faults violates no guarantee

  # Guards against requests that are executed late in a planned stop and given up.
  Scenario: Planned stops in turn among the faults of seed 1106
    Then the soak of seed 1106 with 6 VMs, stops and 10 s of faults violates no guarantee

  # Guards against a node whose memory or event loop the answers of one target
  # exhaust, with the requests of all its other clients.
  Scenario: Answers without end among the faults of seed 1300
    Then the soak of seed 1300 with 4 VMs, floods and 8 s of faults violates no guarantee

  # Guards against departures that are forgotten with the process that has
  # acknowledged them.
  Scenario: Departures before kills among the faults of seed 1400
    Then the soak of seed 1400 with 4 VMs, departures and 8 s of faults violates no guarantee
