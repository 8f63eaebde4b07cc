Feature: Offers of free slots to one entry node at a time

  # Many entry nodes choose at the same moment from reports up to a second old:
  # they overrun the same owners together while others idle.
  Scenario: Requests of many entry nodes wait less while slots are idle
    When 50 seeds of uneven targets are simulated with offers and without
    Then with them the mean wait is shorter
    And with them fewer requests are refused
    And with them fewer slots are idle while a request waits
    And with them the busiest target is closer to the mean
    And with them no more requests miss their latency objective
    And with them no more messages are sent

  # Offers that entry nodes don't use at once leave slots idle.
  Scenario: Requests that owners pass on wait less
    When 20 seeds of uneven targets are simulated with requests passed on and without
    Then with them the mean wait is shorter
    And with them fewer slots are idle while a request waits
    And with them the busiest target is closer to the mean
    And with them no more requests miss their latency objective

  Scenario: A free slot is offered to one entry node
    Given an owner that has offered its free slot to "a" at 0 s
    Then at 0.1 s it offers nothing to "b"
    And at 0.1 s it offers nothing to "a"

  # The offer was lost, or its holder is frozen, killed or cut off.
  Scenario: An offer that is not used keeps its slot from others for a short time
    Given an owner that has offered its free slot to "a" at 0 s
    Then at 0.24 s it offers nothing to "b"
    And at 0.26 s it offers a slot to "b"

  Scenario: A used offer is made again at once
    Given an owner that has offered its free slot to "a" at 0 s
    When a request of "a" arrives
    Then at 0.1 s it offers a slot to "b"

  Scenario: A request of another entry node leaves an offer as it is
    Given an owner that has offered its free slot to "a" at 0 s
    When a request of "b" arrives
    Then at 0.1 s it offers nothing to "c"

  Scenario: A frozen entry node does not use offers from before
    Given near owners "n1 n2 n3" and far owners "" of 5 slots
    When each owner "n1 n2 n3" reports 2 running and executions from 0.1 s upwards
    And owner "n3" offers 2 slots 0.3 s ago
    Then of 20 requests that are useful for 1 s at least 10 go to "n1"

  Scenario: An owner that offers a slot gets one request for each offer
    Given near owners "n1 n2 n3" and far owners "" of 5 slots
    When each owner "n1 n2 n3" reports 2 running and executions from 0.1 s upwards
    And owner "n3" offers 1 slots 0 s ago
    Then the next requests that are useful for 1 s go to "n3" and then to others

  # An answer that arrives twice, as after a lost connection.
  Scenario: An offer that arrives twice is given up with the first refusal
    Given near owners "n1 n2 n3" and far owners "" of 5 slots
    When each owner "n1 n2 n3" reports 2 running and executions from 0.1 s upwards
    And owner "n3" offers 2 slots 0 s ago
    And owner "n3" refuses a request
    Then of 20 requests that are useful for 1 s at least 10 go to "n1"

  Scenario: An offer does not move requests to another data centre
    Given near owners "n1" and far owners "f1" of 5 slots
    When owner "n1" reports 2 running and executions of 0.1 s
    And owner "f1" reports 0 running and executions of 0.1 s
    And owner "f1" offers 1 slots 0 s ago
    Then of 20 requests that are useful for 1 s only "n1" get any
