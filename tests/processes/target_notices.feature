@alone
Feature: What a target states in its answers binds daemons

  Background:
    Given VMs of two data centres
      | vm | data centre | service |
      | a1 | bergen      | desk    |
      | a2 | bergen      | feed    |
      | b1 | voss        | feed    |

  # Guards against a target that gets far more requests than the limit that it
  # names, also after a restart of the daemon beside it.
  Scenario: A target gets no more requests than it names, across a restart
    Given target "a1" names a limit of 8 requests per second
    When clients on "a1 a2 b1" send "/desk/safe/ok" 60 times a second for 9 s
    And the daemon of "a1" is killed after 5 s and started again
    Then in each 4 s from 1 s on target "a1" got at most 53 requests
    And each that was refused got 503 with a Retry-After header

  # Guards against requests at a target whose answers say that it leaves while
  # its heartbeats don't, also after a restart of the daemon beside it.
  Scenario: A target that states its departure gets no more requests
    Given target "a1" states in its answers that it leaves
    When clients on "a2 b1" send "/desk/safe/ok" 20 times a second for 7 s
    And the daemon of "a1" is killed after 3 s and started again
    Then target "a1" got no request later than 2 s after its first answer
    And each that was refused got 503 with a Retry-After header

  # Guards against a departure that is forgotten with the process that has
  # acknowledged it, after which a late heartbeat brings the target back.
  Scenario Outline: A departure holds when <which> are killed at its acknowledgement
    When clients on "a2 b1" send "/desk/safe/ok" 20 times a second for 8 s
    And target "a1" <leaves>, and <which> are killed at the acknowledgement
    And a heartbeat from before arrives 3 s after it was sent
    Then target "a1" got no request later than 2 s after the acknowledgement

    Examples:
      | which          | leaves                            |
      | its daemon     | deregisters                       |
      | its daemon     | reports that it drains            |
      | all daemons    | deregisters                       |

  # Guards against a target that is out of service for long after a restart of
  # its daemon, as its heartbeat has to be verified.
  Scenario: A sound target is in service soon after a restart of its daemon
    When clients on "a2 b1" send "/desk/safe/ok" 20 times a second for 6 s
    And the daemon of "a1" is killed after 1 s and started again
    Then target "a1" got requests again within 3 s after 1 s

  # Guards against a client that is told to come back before the target that
  # refused its request wants it to.
  Scenario Outline: A target's own Retry-After reaches the client
    Given target "a1" refuses with a Retry-After of "<value>"
    When a client on "a2" sends GET "/desk/safe/shed" as "r1"
    Then it gets 503 with a Retry-After of <seconds> s

    Examples:
      | value | seconds |
      | 3     | 3       |
      | 0.7   | 0.7     |
      | later | 0.2     |
