Feature: Choice of the node whose target gets a request

  Scenario: Requests stay in their data centre while its owners can answer in time
    Given near owners "n1 n2" and far owners "f1 f2" of 10 slots
    When owner "n1" reports 9 running and executions of 0.1 s
    And owner "n2" reports 9 running and executions of 0.1 s
    Then of 100 requests that are useful for 0.3 s only "n1 n2" get any

  Scenario: A burst in one data centre is sent to free slots of others
    Given near owners "n1" and far owners "f1" of 10 slots
    When owner "n1" reports 30 running and executions of 0.1 s
    And owner "f1" reports 0 running and executions of 0.1 s
    Then of 20 requests that are useful for 0.3 s only "f1" get any
    And all of them may use spare slots only

  Scenario: Data centres that are all full don't exchange requests
    Given near owners "n1" and far owners "f1" of 10 slots
    When owner "n1" reports 30 running and executions of 0.1 s
    And owner "f1" reports 30 running and executions of 0.1 s
    Then of 20 requests that are useful for 0.3 s only "n1" get any

  Scenario: Retried requests that are late use free slots of slow targets
    Given near owners "fast1 fast2 fast3 slow" and far owners "f1" of 5 slots
    When each owner "fast1 fast2 fast3" reports 9 running and executions from 0.15 s upwards
    And owner "slow" reports 3 running and executions of 0.5 s
    And owner "f1" reports 5 running and executions of 0.15 s
    Then of 40 requests that are useful for 0 s only "slow" get any
    And of 40 requests that are useful for 0.2 s only "slow" get any

  Scenario: A free slot of a slow near target ranks before a far one, and after a fast near one
    Given near owners "fast slow1 slow2 slow3" and far owners "f1" of 5 slots
    When owner "fast" reports 2 running and executions of 0.2 s
    And each owner "slow1 slow2 slow3" reports 0 running and executions from 0.5 s upwards
    And owner "f1" reports 0 running and executions of 0.2 s
    Then of 40 requests that are useful for 0.6 s only "fast" get any
    When owner "fast" reports 16 running and executions of 0.2 s
    Then of 40 requests that are useful for 0.6 s only "slow1 slow2 slow3" get any

  Scenario: Short calls at an owner don't lower its estimate for long requests
    Given near owners "short long" and far owners "" of 5 slots
    When owner "short" reports 2 running, 0.4 s for this kind, 10 % of all, and 0.04 s for another
    And owner "long" reports 2 running, 0.2 s for this kind, 90 % of all, and 0.02 s for another
    Then of 40 requests that are useful for 1 s most go to "long"

  Scenario: An owner that has not executed a kind is assumed to be average
    Given near owners "calls usual" and far owners "" of 5 slots
    When owner "calls" reports 4 running and 0.04 s for another kind
    And owner "usual" reports 1 running, 0.3 s for this kind, 50 % of all, and 0.04 s for another
    Then of 40 requests that are useful for 1 s most go to "usual"

  Scenario: Requests are queued in another data centre that refuses fewer
    Given near owners "n1" and far owners "f1" of 10 slots
    When owner "n1" reports 30 running and executions of 0.1 s and refuses 40 %
    And owner "f1" reports 11 running and executions of 0.1 s and refuses 10 %
    Then of 20 requests that are useful for 0.3 s only "f1" get any

  Scenario: Requests for large answers leave their data centre only if it refuses many
    Given near owners "n1" and far owners "f1" of 10 slots
    And answers of 90 KB
    When owner "n1" reports 30 running and executions of 0.1 s
    And owner "f1" reports 0 running and executions of 0.1 s
    Then of 20 requests that are useful for 0.3 s only "n1" get any
    When owner "n1" has been tried
    Then no owner gets a request
    When owner "n1" reports 30 running and executions of 0.1 s and refuses 30 %
    Then of 20 requests that are useful for 0.3 s only "f1" get any

  Scenario: Requests for large answers leave a data centre without an owner
    Given near owners "n1" and far owners "f1" of 10 slots
    And answers of 90 KB
    When each owner "n1 f1" reports 0 running and executions from 0.1 s upwards
    And owner "n1" is marked lost
    Then of 20 requests that are useful for 0.3 s only "f1" get any

  Scenario: Many nodes with the same stale reports don't overload one owner
    Given near owners "n1 n2 n3 n4 n5 n6 n7 n8" and far owners "" of 5 slots
    When each owner "n1 n2 n3 n4 n5 n6 n7 n8" reports 2 running and executions from 0.1 s upwards
    Then of 400 requests of 25 nodes that are useful for 0.6 s no owner gets over 120

  Scenario: An owner that has executed nothing yet is tried
    Given near owners "n1 n2" and far owners "" of 10 slots
    When owner "n1" reports 1 running and executions of 0.05 s
    And owner "n2" reports 0 running and executions of 0 s
    Then of 20 requests that are useful for 0.3 s most go to "n2"

  Scenario: A slow link is ranked like a slow target
    Given near owners "n1 n2" and far owners "" of 10 slots
    When each owner "n1 n2" reports 1 running and executions from 0.1 s upwards
    And 3 bulk answers of "n1" take 1 s in transit
    Then of 40 bulk requests that are useful for 0.8 s most go to "n2"

  Scenario: Requests for large answers avoid an owner whose link has a backlog
    Given near owners "n1 n2" and far owners "" of 10 slots
    When each owner "n1 n2" reports 1 running and executions from 0.1 s upwards
    And owner "n1" reports a link backlog of 0.4 s
    Then of 40 bulk requests that are useful for 0.8 s most go to "n2"

  Scenario: An owner that is marked lost gets no request
    Given near owners "n1" and far owners "f1" of 10 slots
    When each owner "n1 f1" reports 0 running and executions from 0.1 s upwards
    And owner "n1" is marked lost
    Then of 20 requests that are useful for 0.3 s only "f1" get any
    When owner "f1" is marked lost
    Then no owner gets a request

  Scenario: An owner whose requests fail is ejected for a while
    Given near owners "n1 n2" and far owners "" of 10 slots
    When each owner "n1 n2" reports 0 running and executions from 0.1 s upwards
    And 3 requests fail at "n1"
    Then of 20 requests that are useful for 0.3 s only "n2" get any

  Scenario: The chosen one of hundreds of owners has the best rank
    Then in 120 random fleets of 1 to 300 owners the chosen one has the best rank of all

  # Guards against requests that are sent to a target whose rate is used up,
  # only to be refused there.
  Scenario: An owner whose limit is used up is not asked until there is room
    Given near owners "a b" and far owners "" of 4 slots
    When owner "a" reports a limit of 10 per second with room in 0.4 s
    And owner "b" reports 1 running and executions of 0.1 s
    Then requests useful for 0.3 s all go to "b"
    And 0.45 s later requests useful for 0.3 s go to "a" too

  Scenario: If all limits are used up nobody is asked, and the time of room is known
    Given near owners "a b" and far owners "c" of 4 slots
    When owner "a" reports a limit of 10 per second with room in 0.6 s
    And owner "b" reports a limit of 10 per second with room in 0.4 s
    And owner "c" reports a limit of 10 per second with room in 0.9 s
    Then a request useful for 0.3 s goes to nobody, and there is room in 0.4 s

  Scenario: Requests of this node count until the next report
    Given near owners "a" and far owners "" of 100 slots
    When owner "a" reports a limit of 10 per second with room in 0 s
    Then 5 requests useful for 0.6 s go to "a" and the next one to nobody

  Scenario: A limit with room leaves the choice as it is
    Given near owners "a b" and far owners "" of 4 slots
    When owner "a" reports a limit of 1000 per second with room in 0 s
    And owner "b" reports 3 running and executions of 0.1 s
    Then requests useful for 0.3 s go to "a" too

  Scenario Outline: The way to another data centre is measured
    Given near owners "n1" and far owners "f1 f2" of 10 slots
    When owner "n1" reports 30 running and executions of 0.1 s
    And each owner "f1 f2" reports 0 running and executions from 0.1 s upwards
    And answers of owner "f1" take <round_trip> s on their way
    Then of 20 requests that are useful for <useful> s only "<owner>" get any

    Examples:
      | round_trip | useful | owner |
      | 0.0018     | 0.155  | f1    |
      | 0.009      | 0.155  | n1    |
      | 0.04       | 0.17   | n1    |

  Scenario: A way that was observed to one owner is assumed to others
    Given near owners "n1" and far owners "f1 f2" of 10 slots
    When owner "n1" reports 30 running and executions of 0.1 s
    And owner "f2" reports 0 running and executions of 0.1 s
    And answers of owner "f1" take 0.0018 s on their way
    And owner "f1" reports 30 running and executions of 0.1 s
    Then of 20 requests that are useful for 0.155 s only "f2" get any
