Feature: Departures that a target states in its answers

  # Guards against requests at a target whose answers say that it leaves while
  # its heartbeats and calls do not.
  Scenario: A target that states its departure gets no more requests
    Given an owner beside a target of 4 slots that answers after 0.05 s
    And at 1 s the target states its departure as "1"
    And at 2 s a heartbeat reports the target as ready
    And at 5 s a heartbeat reports the target as ready
    When 40 requests per second arrive for 8 s
    Then the target gets no request from 1.2 s on
    And each request from 1.2 s on is refused at once as not-run
    And it reports the target as draining
    And it reports the departure of the target

  Scenario: What is queued at a target that leaves is not sent later
    Given an owner beside a target of 1 slots that answers after 0.9 s
    And at 0 s the target states its departure as "1"
    When 20 requests per second arrive for 1 s
    Then the target gets no request from 2 s on

  Scenario: Later answers without the statement do not take the departure back
    Given an owner beside a target of 4 slots that answers after 0.05 s
    And at 1 s the target states its departure as "1"
    And every 3rd request takes 0.9 s, with the headers of its start
    When 40 requests per second arrive for 6 s
    Then the target gets no request from 1.2 s on

  Scenario Outline: A successor gets requests
    Given an owner beside a target of 4 slots that answers after 0.05 s
    And at 1 s the target states its departure as "1"
    And at 4 s the target states its departure as ""
    And at 4 s <successor>
    When 40 requests per second arrive for 6 s
    Then the target gets at least 78 requests from 4 s to 6 s
    And it reports the target as ready

    Examples:
      | successor                                |
      | another target takes the address         |
      | the target starts again under its id     |

  # Guards against a late answer of the process before, which leaves, that is
  # taken for one of the process after it.
  Scenario: An answer of the process before does not drain its successor
    Given an owner beside a target of 4 slots that answers after 0.05 s
    And every 3rd request takes 0.9 s, with the headers of its start
    And at 1 s the target states its departure as "1"
    And at 1.01 s the target starts again under its id
    And at 1.01 s the target states its departure as ""
    When 40 requests per second arrive for 4 s
    Then it reports the target as ready

  # Guards against a target that is taken back after some seconds, as its start
  # time is not known when it states its departure.
  Scenario: A departure before the first heartbeat to a new process holds
    Given an owner beside a target of 4 slots that answers after 0.05 s
    And its process has started after the last heartbeat
    And at 0.5 s the target states its departure as "1"
    And at 1.5 s a heartbeat reports the target as ready
    And at 3 s a heartbeat reports the target as ready
    And at 7 s a heartbeat reports the target as ready
    When 40 requests per second arrive for 9 s
    Then the target gets no request from 1 s on

  Scenario: A process that has just started learns the departure from a peer
    Given an owner beside a target of 4 slots that answers after 0.05 s
    And a peer has recorded the departure of the target
    When 40 requests per second arrive for 1 s
    Then the target gets no request from 0 s on

  Scenario Outline: A statement that can't be read has no effect
    Given an owner beside a target of 4 slots that answers after 0.05 s
    And at 1 s the target states its departure as "<value>"
    When 40 requests per second arrive for 3 s
    Then the target gets at least 118 requests from 0 s to 3 s
    And it reports the target as ready

    Examples:
      | value |
      | 0     |
      | 2     |
      | yes   |
      | -1    |
      | 1.0   |

  # Guards against a target that leaves and is taken as a new one, as its health
  # check passes.
  Scenario Outline: A health check whose answer states the departure finds no target
    Given a target whose health check passes and states its departure as "<value>"
    When a process that has just started checks its health
    Then it finds <found>

    Examples:
      | value | found      |
      | 1     | no target  |
      | 0     | the target |
      | yes   | the target |
