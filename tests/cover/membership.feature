Feature: Members agree on who lives, whatever stops, stalls or is cut

  The machines run with a clock of their own; times are on that clock.

  Scenario Outline: A killed member is avoided by all, and nobody else is
    Given <count> members of one data centre
    When member "desk-bergen-1" is killed
    Then within <seconds> s all avoid "desk-bergen-1"
    And within 30 s all hold "desk-bergen-1" dead
    And nobody else is held suspect or dead

    Examples:
      | count | seconds |
      | 3     | 6       |
      | 12    | 6       |
      | 60    | 8       |

  Scenario Outline: A member that was frozen accuses nobody when it wakes
    Given <count> members of one data centre
    When "desk-bergen-1" is frozen for <seconds> s
    And 1 simulated s pass
    Then "desk-bergen-1" holds nobody suspect or dead
    And within 5 s everybody is held alive again by all

    Examples:
      | count | seconds |
      | 12    | 3       |
      | 12    | 40      |
      | 12    | 400     |

  Scenario: A member that was frozen does not trust the timers that ran out
    Given 12 members of one data centre
    When "desk-bergen-2" is cut off until "desk-bergen-1" suspects it
    And "desk-bergen-1" is frozen for 40 s, in which the cut heals
    Then "desk-bergen-1" holds nobody dead when its timers come first
    And within 5 s everybody is held alive again by all

  Scenario Outline: Slow members doubt themselves before they accuse others
    Given 24 members of one data centre
    When <slow> members handle every event <lag> s late
    And 60 simulated s pass
    Then no member that is on time was held dead

    Examples:
      | slow | lag |
      | 4    | 0.8 |
      | 8    | 3   |

  Scenario Outline: Members that read late accuse others at most once each
    Given 24 members of one data centre
    When <slow> members read every datagram <lag> s late
    And 60 simulated s pass
    Then those that are on time had to refute at most <slow> suspicions
    And no member that is on time was held dead

    Examples:
      | slow | lag |
      | 4    | 2   |
      | 8    | 3   |

  Scenario: A member whose sends alone are lost is no judge of the others
    Given 24 members of one data centre
    When datagrams from "desk-bergen-1" are lost
    And 60 simulated s pass
    Then no other member than "desk-bergen-1" was held dead

  Scenario Outline: A draining target gets no new work after 3 s
    Given <count> members in each of <centres> data centres
    When the target of "desk-bergen-1" starts to drain
    Then within 3 s nobody offers "desk-bergen-1" to callers

    Examples:
      | count | centres |
      | 3     | 1       |
      | 60    | 1       |
      | 3     | 3       |
      | 24    | 4       |

  Scenario: A replacement under the same address and id is taken at once
    Given 12 members of one data centre
    When member "desk-bergen-1" is killed
    And "desk-bergen-1" starts again with incarnation 5
    Then within 5 s all know "desk-bergen-1" alive with incarnation 5

  Scenario: A wall clock that ran backwards does not keep a member out
    Given 12 members of one data centre
    When "desk-bergen-1" starts again with incarnation 900
    And 5 simulated s pass
    And member "desk-bergen-1" is killed
    And 60 simulated s pass
    And "desk-bergen-1" starts again with incarnation 7
    Then within 5 s all know "desk-bergen-1" alive with incarnation 901

  Scenario Outline: Of two processes under one id the older one stops
    Given <count> members of one data centre
    And a platform that has no row of a process
    When "desk-bergen-1" starts at another address with incarnation <number>
    Then within 15 s the older process of "desk-bergen-1" has to stop
    And "desk-bergen-1" does not take itself for replaced
    And within 5 s everybody is held alive again by all

    Examples: the newer one by a clock that is right, and one that is behind
      | count | number |
      | 12    | 50     |
      | 60    | 50     |
      | 12    | 0      |

  Scenario Outline: Of two processes that start together the older one stops
    Then in 10 sessions of <members> members the older one of two processes that start <gap> s apart stops, and only it

    Examples:
      | members | gap |
      | 3       | 0.5 |
      | 12      | 0.5 |
      | 12      | 4   |

  Scenario: Two processes under one id go on while the platform is down
    Given 12 members of one data centre
    And a platform that has no row of a process
    When the platform refuses every request
    And "desk-bergen-1" starts at another address with incarnation 50
    Then for 30 s neither process of "desk-bergen-1" has to stop
    When the platform serves every request
    Then within 15 s the older process of "desk-bergen-1" has to stop
    And "desk-bergen-1" does not take itself for replaced

  Scenario: Rows of processes that are gone and lost replies stop nobody
    Then in 500 random histories the process of the highest rank goes on

  Scenario: A rolling restart of all ends with all
    Given 12 members of one data centre
    When all members restart one after the other, 3 s apart
    Then within 5 s everybody is held alive again by all

  Scenario: Half of the members are killed at once and come back in a storm
    Given 48 members of one data centre
    When half of the members are killed
    Then within 19 s all avoid the killed ones
    When the killed ones start again
    Then within 9 s everybody is held alive again by all

  Scenario: Half of two data centres is killed at once
    Given 4 members in each of 2 data centres
    When half of the members are killed
    Then within 19 s all avoid the killed ones
    When the killed ones start again
    Then within 9 s everybody is held alive again by all

  Scenario: A rack that is cut off comes back without an operator
    Given 24 members of one data centre
    When 6 members are cut off from the others for 120 s
    Then within 19 s everybody is held alive again by all

  Scenario: A cut between data centres leaves summaries with their age
    Given 6 members in each of 3 data centres
    When "bergen" is cut from the other data centres for 400 s
    Then the members of "bergen" still offer targets of "voss"
    And their summary of "voss" is 400 s old
    When the target of "desk-voss-1" has left during the cut
    Then within 19 s nobody offers "desk-voss-1" to callers
    And within 19 s the summary of "voss" is fresh in "bergen"

  Scenario: A joiner hears of the other data centres from its neighbours
    Given 6 members in each of 3 data centres
    When each member of "voss" restarts, 8 s apart
    Then the members of "voss" still offer targets of "bergen"

  Scenario: Lies about a member are refuted
    Given 12 members of one data centre
    When a broken peer says of "desk-bergen-1" what is not true
    Then within 5 s everybody is held alive again by all
    And "desk-bergen-1" is known to all as it is
    And "desk-bergen-1" does not take itself for replaced

  Scenario: A peer that repeats false records of a node does not stop it
    Given 12 members of one data centre
    When a broken peer says 6 times, 6 s apart, that "desk-bergen-1" is newer
    Then "desk-bergen-1" does not take itself for replaced
    And within 5 s everybody is held alive again by all

  Scenario: A peer that tells of a process that does not run stops no node
    Given 12 members of one data centre
    And a platform that has no row of a process
    When a broken peer says 6 times, 6 s apart, that "desk-bergen-1" runs elsewhere
    And 120 simulated s pass
    Then "desk-bergen-1" does not take itself for replaced
    And that cost the platform 1 to 40 reads and 1 write
    And within 5 s everybody is held alive again by all

  Scenario: A peer that lies to the whole fleet does not flood the platform
    Then 15000 nodes that are lied to at once make at most 300 checks in one second

  Scenario: A peer can't fill the table
    Given 3 members of one data centre
    When a broken peer tells of 25000 members to "desk-bergen-1"
    Then "desk-bergen-1" knows at most 20000 members

  Scenario: A table finds members by address, also those of one host
    Then 300 random tables find the members of each address and group

  Scenario: A peer that tells pages without end is not asked for ever
    Given 3 members of one data centre
    When a broken peer answers "desk-bergen-1" with the same page 10000 times
    Then it was asked for another page at most 3 times

  Scenario: A peer can't flood the socket
    When a peer sends 10000 datagrams in a second
    Then at most 300 are read, and those of another peer still are

  Scenario: A large data centre is told whole in bounded datagrams
    Given 400 members of one data centre that know each other
    When "desk-bergen-9999" joins
    Then within 10 s "desk-bergen-9999" knows 401 members
    And no datagram was larger than 1400 bytes

  Scenario: Views never fall back and agree in the end, whatever is delivered
    Then 100 random sessions with losses, duplicates, cuts and restarts hold

  @golden
  Scenario Outline: A whole session reads as its golden file
    Then the session "<session>" equals its golden file

    Examples:
      | session                  |
      | membership-join          |
      | membership-refutation    |
      | membership-freeze-return |
