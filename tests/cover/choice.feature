Feature: Choice of the owner for a call

  Scenario: The drain state of an owner expires without a report of its end
    Given 2 local and 0 remote owners of 10 slots
    When at 0 s owner 1 reports that it drains
    Then at 1 s owner 1 gets 0 to 0 calls of 100
    And at 4 s owner 1 gets 1 to 100 calls of 100

  Scenario: Other data centres are used only when the local one is full
    Given 2 local and 2 remote owners of 10 slots
    Then at 0 s only local owners get calls of 18
    When at 1 s owner 1 reports 10 running calls
    And at 1 s owner 2 reports 10 running calls
    Then at 1 s only remote owners get calls of 10
    And at 1 s without spill only local owners get calls of 10
    And at 9 s only local owners get calls of 10

  Scenario: A refusal overrides a load report that says idle
    Given 1 local and 1 remote owners of 10 slots
    When at 0 s owners 1 to 1 refuse 1 calls after 0.01 s
    And at 0 s owner 1 reports 0 running calls
    Then at 0.1 s only remote owners get calls of 10
    And at 2 s only local owners get calls of 10

  Scenario: An owner that fails is ejected and returns with a small share
    Given 4 local and 0 remote owners of 10 slots
    When at 0 s owners 1 to 1 fail 3 calls after 0.01 s
    Then at 1 s owner 1 gets 0 to 0 calls of 400
    And at 2.5 s owner 1 gets 1 to 100 calls of 400
    When at 2.6 s owners 1 to 1 fail 1 calls after 0.01 s
    Then at 6 s owner 1 gets 0 to 0 calls of 400

  Scenario: Time-outs of short deadlines do not eject an owner
    Given 4 local and 0 remote owners of 10 slots
    When at 0 s owners 1 to 1 serve 5 calls after 0.5 s
    And at 0 s owners 1 to 1 time out 9 calls after 0.01 s
    Then at 1 s exactly 0 owners are ejected
    When at 1 s owners 1 to 1 time out 3 calls after 2 s
    Then at 2 s exactly 1 owners are ejected

  Scenario: At most a third of the owners is ejected
    Given 6 local and 0 remote owners of 10 slots
    When at 0 s owners 1 to 6 fail 9 calls after 0.01 s
    Then at 1 s exactly 2 owners are ejected

  Scenario: An owner with a much higher service time is ejected
    Given 4 local and 0 remote owners of 10 slots
    When at 0 s owners 2 to 4 serve 12 calls after 0.05 s
    And at 0 s owners 1 to 1 serve 12 calls after 0.5 s
    Then at 1 s exactly 1 owners are ejected

  Scenario: A new owner gets a growing share
    Given 4 local and 0 remote owners of 10 slots
    Then at 0 s only local owners get calls of 8
    When a local owner 5 is added at 10 s
    Then at 10 s owner 5 gets 1 to 40 calls of 400
    And at 15 s owner 5 gets 60 to 100 calls of 400

  Scenario: An entry node uses a bounded subset of a large service
    Then each of 60 entry nodes uses 16 of 100 owners, evenly
    And the removal of an owner changes a subset by one owner at most

  Scenario: Slow, cold, lying and broken targets are survived
    Then at a load of 0.7 the baselines serve fewer calls with a higher p99
    And a slow target that reports itself idle gets less than half of a fair share
    And a target that fails at once breaks less than 1 in 100 calls

  Scenario: Random events keep the invariants
    Then random events never violate an invariant of the choice
