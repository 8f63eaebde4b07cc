Feature: Requests that an owner without a free slot passes on

  # A called service with few targets and many callers: each caller hears from
  # an owner a few times a second, and queues there live for a tenth of that.
  Scenario: A request that would wait goes to a neighbour with a free slot
    Given an owner with 1 slot, which is occupied
    When attempt "a" tells of 1 free slots of "n2" 0.02 s ago
    Then "a" is passed on to "n2" and never runs here

  Scenario: A free slot of a neighbour is used for one request
    Given an owner with 1 slot, which is occupied
    When attempt "a" tells of 1 free slots of "n2" 0.02 s ago
    And attempt "b" tells of nothing
    Then "b" waits here

  Scenario: Each request tells an owner of its neighbours for those that follow
    Given an owner with 1 slot, which is occupied
    When attempt "a" tells of 2 free slots of "n2" 0.02 s ago
    And attempt "b" tells of nothing
    Then "b" is passed on to "n2" and never runs here

  Scenario: A neighbour that has reported since that it is full gets nothing
    Given an owner with 1 slot, which is occupied
    When attempt "a" tells of 2 free slots of "n2" 0.02 s ago
    And attempt "b" tells of 0 free slots of "n2" 0.01 s ago
    Then "b" waits here

  Scenario: Old reports are not used
    Given an owner with 1 slot, which is occupied
    When attempt "a" tells of 3 free slots of "n2" 0.06 s ago
    Then "a" waits here

  Scenario: A request is passed on once
    Given an owner with 1 slot, which is occupied
    When attempt "a" tells of 2 free slots of "n2" 0.02 s ago
    And attempt "b" was passed on already
    Then "b" waits here

  Scenario: A request that gets a slot at once is not passed on
    Given an owner with 2 slots, one of which is occupied
    When attempt "a" tells of 2 free slots of "n2" 0.02 s ago
    Then "a" runs here

  Scenario Outline: The named owner is chosen unless it can't take the request
    Given near owners "n1 n2 n3" and far owners "" of 5 slots
    When each owner "n1 n2 n3" reports 2 running and executions from 0.1 s upwards
    And owner "n3" <what>
    Then a request that is passed on to "n3" <goes>

    Examples:
      | what               | goes               |
      | reports its load   | goes there         |
      | was asked already  | is chosen as usual |
      | has failed thrice  | is chosen as usual |
      | was lost           | is chosen as usual |

  Scenario: An entry node tells of the neighbour from which it heard last
    Given near owners "n1 n2 n3" and far owners "f1" of 5 slots
    When owner "n1" reports 1 running 0.04 s ago
    And owner "n2" reports 2 running 0.02 s ago
    And owner "n3" reports 3 running 0.01 s ago
    And owner "f1" reports 0 running 0 s ago
    Then owner "n3" is told of 3 free slots of "n2"
    And owner "n2" is told of 2 free slots of "n3"
    And owner "f1" is told of nothing

  Scenario: A neighbour whose rate limit is used up has no free slot
    Given near owners "n1 n2" and far owners "" of 5 slots
    When owner "n1" reports 1 running 0.02 s ago
    And owner "n2" reports 1 running and a rate limit that admits none for 0.5 s
    Then owner "n1" is told of 0 free slots of "n2"

  Scenario Outline: Frames of nodes of both releases are read
    When a request <tells> is encoded and decoded
    Then what it tells is the same

    Examples:
      | tells                     |
      | that must not be passed   |
      | that tells of nothing     |
      | that tells of a neighbour |

  Scenario: A request of an earlier release is not passed on
    When a request that tells of a neighbour is sent without its last field
    Then it must not be passed on
