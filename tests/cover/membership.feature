Feature: Members agree on live members despite stops, stalls and cuts

  The state machines run with a simulated clock; all times are simulated.

  Scenario Outline: Only the killed member is avoided, and by all members
    Given <count> members of one data centre
    When member "desk-bergen-1" is killed
    Then within <seconds> s all members avoid "desk-bergen-1"
    And within 30 s all members record "desk-bergen-1" dead
    And no other member is recorded suspect or dead

    Examples:
      | count | seconds |
      | 3     | 6       |
      | 12    | 6       |
      | 60    | 8       |

  Scenario Outline: A member that was frozen suspects no other when it resumes
    Given <count> members of one data centre
    When "desk-bergen-1" is frozen for <seconds> s
    And 1 simulated s pass
    Then "desk-bergen-1" records no member suspect or dead
    And within 5 s all members record each other alive again

    Examples:
      | count | seconds |
      | 12    | 3       |
      | 12    | 40      |
      | 12    | 400     |

  Scenario: A member that was frozen does not trust the timers that ran out
    Given 12 members of one data centre
    When "desk-bergen-2" is cut off until "desk-bergen-1" suspects it
    And "desk-bergen-1" is frozen for 40 s, during which the cut is healed
    Then "desk-bergen-1" records no member dead if its timers run before its datagrams
    And within 5 s all members record each other alive again

  Scenario Outline: Slow members doubt themselves before they accuse others
    Given 24 members of one data centre
    When <slow> members handle every event <lag> s late
    And 60 simulated s pass
    Then none of the other members was recorded dead

    Examples:
      | slow | lag |
      | 4    | 0.8 |
      | 8    | 3   |

  Scenario Outline: Members that read late accuse others at most once each
    Given 24 members of one data centre
    When <slow> members read every datagram <lag> s late
    And 60 simulated s pass
    Then the other members have refuted at most <slow> suspicions
    And none of the other members was recorded dead

    Examples:
      | slow | lag |
      | 4    | 2   |
      | 8    | 3   |

  Scenario: A member whose sends alone are lost is no judge of the others
    Given 24 members of one data centre
    When datagrams from "desk-bergen-1" are lost
    And 60 simulated s pass
    Then no other member than "desk-bergen-1" was recorded dead

  Scenario Outline: A draining target gets no new work after 3 s
    Given <count> members in each of <centres> data centres
    When the target of "desk-bergen-1" starts to drain
    Then within 3 s no member offers "desk-bergen-1" to callers

    Examples:
      | count | centres |
      | 3     | 1       |
      | 60    | 1       |
      | 3     | 3       |
      | 24    | 4       |

  Scenario: A replacement with the same address and id is accepted at once
    Given 12 members of one data centre
    When member "desk-bergen-1" is killed
    And "desk-bergen-1" starts again with incarnation 5
    Then within 5 s all members record "desk-bergen-1" alive with incarnation 5

  Scenario: A member whose wall clock was set back can rejoin
    Given 12 members of one data centre
    When "desk-bergen-1" starts again with incarnation 900
    And 5 simulated s pass
    And member "desk-bergen-1" is killed
    And 60 simulated s pass
    And "desk-bergen-1" starts again with incarnation 7
    Then within 5 s all members record "desk-bergen-1" alive with incarnation 901

  Scenario Outline: The older one of two processes with one id stops
    Given <count> members of one data centre
    And a platform without a row of any process
    When "desk-bergen-1" starts at another address with incarnation <number>
    Then within 15 s the older process of "desk-bergen-1" is marked as replaced
    And "desk-bergen-1" is not marked as replaced
    And within 5 s all members record each other alive again

    Examples: the clock of the newer process is right, or behind
      | count | number |
      | 12    | 50     |
      | 60    | 50     |
      | 12    | 0      |

  Scenario Outline: The older one of two processes that start together stops
    Then in 10 sessions of <members> members only the older one of two processes that start <gap> s apart is marked as replaced

    Examples:
      | members | gap |
      | 3       | 0.5 |
      | 12      | 0.5 |
      | 12      | 4   |

  Scenario: Two processes with one id continue while the platform is down
    Given 12 members of one data centre
    And a platform without a row of any process
    When the platform refuses every request
    And "desk-bergen-1" starts at another address with incarnation 50
    Then for 30 s no process of "desk-bergen-1" is marked as replaced
    When the platform serves every request
    Then within 15 s the older process of "desk-bergen-1" is marked as replaced
    And "desk-bergen-1" is not marked as replaced

  Scenario: Rows of ended processes and lost replies stop no process wrongly
    Then in 500 random histories only the process of the highest rank remains

  Scenario: After a rolling restart all members are alive
    Given 12 members of one data centre
    When all members restart one after the other, 3 s apart
    Then within 5 s all members record each other alive again

  Scenario: Half of the members are killed at once and come back in a storm
    Given 48 members of one data centre
    When half of the members are killed
    Then within 19 s all members avoid the killed members
    When the killed members start again
    Then within 9 s all members record each other alive again

  Scenario: Half of two data centres is killed at once
    Given 4 members in each of 2 data centres
    When half of the members are killed
    Then within 19 s all members avoid the killed members
    When the killed members start again
    Then within 9 s all members record each other alive again

  Scenario: A rack that is cut off comes back without an operator
    Given 24 members of one data centre
    When 6 members are cut off from the others for 120 s
    Then within 19 s all members record each other alive again

  Scenario: Summaries of data centres that are cut off keep their age
    Given 6 members in each of 3 data centres
    When "bergen" is cut off from the other data centres for 400 s
    Then the members of "bergen" still offer targets of "voss"
    And their summary of "voss" is 400 s old
    When the node "desk-voss-1" leaves during the cut
    Then within 19 s no member offers "desk-voss-1" to callers
    And within 19 s the summary of "voss" is fresh in "bergen"

  Scenario: A joining member receives the summaries of other data centres
    Given 6 members in each of 3 data centres
    When each member of "voss" restarts, 8 s apart
    Then the members of "voss" still offer targets of "bergen"

  Scenario: False updates about a member are refuted
    Given 12 members of one data centre
    When a faulty peer sends false updates about "desk-bergen-1"
    Then within 5 s all members record each other alive again
    And all members have the true record of "desk-bergen-1"
    And "desk-bergen-1" is not marked as replaced

  Scenario: Repeated false records of a node do not stop it
    Given 12 members of one data centre
    When a faulty peer sends 6 times, 6 s apart, a newer record of "desk-bergen-1"
    Then "desk-bergen-1" is not marked as replaced
    And within 5 s all members record each other alive again

  Scenario: False records of a second process do not stop a node
    Given 12 members of one data centre
    And a platform without a row of any process
    When a faulty peer sends 6 times, 6 s apart, a newer record of "desk-bergen-1" at another address
    And 120 simulated s pass
    Then "desk-bergen-1" is not marked as replaced
    And the checks made 1 to 40 reads and 1 write
    And within 5 s all members record each other alive again

  Scenario: False records sent to the whole fleet do not overload the platform
    Then 15000 nodes that suspect duplicates at once make at most 300 checks in one second

  Scenario: A peer cannot fill the member table
    Given 3 members of one data centre
    When a faulty peer sends the records of 25000 members to "desk-bergen-1"
    Then the table of "desk-bergen-1" has at most 20000 members

  Scenario: A table finds members by address, also several on one host
    Then 300 random tables find members by address, data centre and service

  Scenario: An endless sequence of sync pages is not followed
    Given 3 members of one data centre
    When a faulty peer sends "desk-bergen-1" the same sync page 10000 times
    Then at most 3 further pages were requested from it

  Scenario: The datagrams of one peer are rate-limited
    When a peer sends 10000 datagrams in a second
    Then at most 300 are admitted, and those of another peer still are

  Scenario: The table of a large data centre is sent in bounded datagrams
    Given 400 connected members of one data centre
    When "desk-bergen-9999" joins
    Then within 10 s the table of "desk-bergen-9999" has 401 members
    And no datagram was larger than 1400 bytes

  Scenario: Views never regress and converge under any delivery
    Then 100 random sessions with losses, duplicates, cuts and restarts converge

  @golden
  Scenario Outline: A trace matches its golden file
    Then the trace of "<session>" matches its golden file

    Examples:
      | session                  |
      | membership-join          |
      | membership-refutation    |
      | membership-freeze-return |
