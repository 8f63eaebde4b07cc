Feature: Slot queue of a target

  Scenario: A request that can't be answered in time is refused at once
    Given a slot queue of 2 slots whose executions take 0.1 s
    When at 0 s requests "a b" arrive
    And at 0 s requests "c d e f" arrive that are useful for 0.32 s
    Then "c d e" wait
    And "f" is refused with queue-full and a Retry-After of at least 0.04 s

  Scenario: A slow target gets a shorter queue
    Given a slot queue of 2 slots whose executions take 0.18 s
    When at 0 s requests "a b" arrive
    And at 0 s requests "c d" arrive that are useful for 0.3 s
    Then "c d" are refused

  Scenario: Under overload requests that can be in time go before late ones
    Given a slot queue of 1 slots whose executions take 0.02 s
    When at 0 s requests "running" arrive
    And at 0 s late requests "late" arrive
    And at 0.001 s requests "fresh" arrive that are useful for 0.3 s
    And at 0.01 s "running" ends
    Then "fresh" runs
    And "late" waits

  Scenario: Urgent requests go first, also when they arrive later
    Given a slot queue of 1 slots whose executions take 0.02 s
    When at 0 s requests "running" arrive
    And at 0 s requests "usual" arrive that are useful for 0.3 s
    And at 0.001 s requests "call" of priority 1 arrive
    And at 0.01 s "running" ends
    Then "call" runs
    And "usual" waits

  Scenario: A request that may use spare slots only is not queued
    Given a slot queue of 1 slots whose executions take 0.02 s
    When at 0 s requests "running" arrive
    And at 0 s spare requests "far" arrive
    Then "far" is refused
    And the share of refused requests is 0 %

  Scenario: A request with too little time for its execution is refused
    Given a slot queue of 1 slots whose executions take 0.1 s
    When at 0 s requests "running" arrive
    And at 0 s requests "short" arrive with 0.04 s to their deadline
    Then "short" is refused

  Scenario: Additional slots start waiting requests
    Given a slot queue of 1 slots whose executions take 0.05 s
    When at 0 s requests "a" arrive
    And at 0 s requests "b" arrive that are useful for 1 s
    And the target has 2 slots
    Then "b" runs

  Scenario: The queue keeps its invariants in random sessions
    Then 300 random sessions of a slot queue keep its invariants

  Scenario: Short calls ahead add less to the estimated wait than long requests
    Given a slot queue of 1 slots that executes mostly packages, calls in 0.02 s and packages in 0.4 s
    When at 30 s requests "running" arrive
    And at 30 s calls "c1 c2 c3" arrive
    And at 30 s packages "p" arrive that are useful for 1.2 s
    Then "c1 c2 c3 p" wait

  Scenario: A long request whose answer would be late is not queued
    Given a slot queue of 1 slots that executes mostly calls, calls in 0.02 s and packages in 0.4 s
    When at 30 s requests "running" arrive
    And at 30 s packages "p" arrive that are useful for 0.5 s
    Then "p" is refused
    When at 30 s calls "c" arrive
    Then "c" wait

  Scenario: Requests beyond the share of their account go last
    Given a slot queue of 1 slots whose executions take 0.02 s
    When at 0 s requests "running" arrive
    And at 0 s requests "excess" of priority 0 arrive beyond their account's share
    And at 0.001 s requests "fresh" arrive that are useful for 0.3 s
    And at 0.01 s "running" ends
    Then "fresh" runs
    And "excess" waits

  Scenario: Without client accounts the order is priority, lateness, arrival
    Then 200 random sessions without accounts admit by priority, lateness and arrival
