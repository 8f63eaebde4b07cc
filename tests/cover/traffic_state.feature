Feature: State that a node keeps of its target, its peers and the configuration

  Scenario: A heartbeat that arrives out of order is ignored
    Given the node of target address 10.0.0.7:80 in service desk
    When heartbeats arrive
      | id | born | sequence | state    | slots |
      | a  | 1000 | 1        | ready    | 9     |
      | a  | 1000 | 3        | draining | 9     |
      | a  | 1000 | 2        | ready    | 9     |
    Then the target is "a", draining, with 9 slots

  Scenario: A late heartbeat of the previous process is ignored
    Given the node of target address 10.0.0.7:80 in service desk
    When heartbeats arrive
      | id | born | sequence | state    | slots |
      | a  | 1000 | 7        | ready    | 9     |
      | b  | 2000 | 1        | ready    | 5     |
      | a  | 1000 | 8        | draining | 9     |
    Then the target is "b", ready, with 5 slots

  Scenario: A process that restarts under its id numbers its heartbeats anew
    Given the node of target address 10.0.0.7:80 in service desk
    When heartbeats arrive
      | id | born | sequence | state    | slots |
      | a  | 1000 | 7        | draining | 9     |
      | a  | 2000 | 1        | ready    | 9     |
    Then the target is "a", ready, with 9 slots

  Scenario: A target that has departed does not become ready by a late heartbeat
    Given the node of target address 10.0.0.7:80 in service desk
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 1000 | 1        | ready | 9     |
    And target "a" departs
    And heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 1000 | 2        | ready | 9     |
    Then the target is "a", draining, with 9 slots

  Scenario: A process that has just started probes the target before its heartbeat
    Given the node of target address 10.0.0.7:80 in service desk
    When a health check is answered by "a"
    Then the target is "a", ready, with 4 slots
    When a peer reports 9 slots
    Then the target is "a", ready, with 9 slots
    When heartbeats arrive
      | id | born | sequence | state    | slots |
      | a  | 1000 | 5        | draining | 7     |
    Then the target is "a", draining, with 7 slots

  Scenario: A process that has just started applies a departure reported by a peer
    Given the node of target address 10.0.0.7:80 in service desk
    When a peer reports the departure of "a", born 1000
    Then a health check answered by "a" is ignored
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 1000 | 4        | ready | 7     |
    Then the target is unknown
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 2000 | 1        | ready | 7     |
    Then the target is "a", ready, with 7 slots

  Scenario: A target that departs before its first heartbeat to a new process gets no requests
    Given the node of target address 10.0.0.7:80 in service desk
    When target "a" departs
    Then a health check answered by "a" is ignored
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 1000 | 4        | ready | 7     |
    Then the target is unknown

  Scenario: A process without a known target announces a departure, too
    Given the node of target address 10.0.0.7:80 in service desk
    When target "a" departs
    Then the announced departure is that of "a", born 0

  Scenario: The number of recorded departures is limited
    Given the node of target address 10.0.0.7:80 in service desk
    When 1000 targets depart one after the other
    Then at most 32 departures are recorded
    And the announced departure is that of "t999", born 0

  Scenario: A departure reported by a peer applies to a target found healthy before
    Given the node of target address 10.0.0.7:80 in service desk
    When a health check is answered by "a"
    And a peer reports the departure of "a", born 1000
    Then the target is "a", draining, with 4 slots

  # Guards against a target that is excluded for good, as its process is taken
  # for the one before, whose departure a peer has recorded.
  Scenario: A departure of the process before does not bind its successor under the same id
    Given the node of target address 10.0.0.7:80 in service desk
    When a health check is answered by "a"
    And a peer reports the departure of "a", born 1000
    Then the target is "a", draining, with 4 slots
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 2000 | 3        | ready | 9     |
    Then the target is "a", ready, with 9 slots

  Scenario Outline: A heartbeat in another format is rejected
    Then the heartbeat <body> is rejected

    Examples:
      | body                                                                                                                                    |
      | {                                                                                                                                       |
      | []                                                                                                                                      |
      | {"address":"10.0.0.7:80","status":{"state":"ready","sequence":1}}                                                                       |
      | {"address":"10.0.0.7:80","info":{"service":"desk","slots":"9"},"status":{"state":"ready","sequence":1}}                                 |
      | {"address":"10.0.0.7:80","info":{"service":"desk","slots":true},"status":{"state":"ready","sequence":1}}                                |
      | {"address":"somewhere","info":{"service":"desk","slots":9},"status":{"state":"ready","sequence":1}}                                     |
      | {"address":"10.0.0.7:80","info":{"service":"desk","slots":9},"status":{"state":"asleep","sequence":1}}                                  |
      | {"address":"10.0.0.7:80","info":{"service":"desk","slots":9},"status":{"state":"ready","sequence":1},"born":"1"}                        |

  Scenario: The route with the longest prefix is chosen
    Given a configuration with routes
      | host | prefix  | service |
      | a.ex | /       | root    |
      | a.ex | /x/     | short   |
      | a.ex | /x/y/   | long    |
      | b.ex | /z/     | other   |
    Then requests are routed
      | host      | path       | service |
      | a.ex      | /x/y/1?q=/ | long    |
      | A.ex:8080 | /x/1       | short   |
      | a.ex      | /xy        | root    |
      | b.ex      | /z/1       | other   |
      | b.ex      | /z         |         |
      | c.ex      | /x/y/      |         |

  Scenario: A split keeps to its weights in short runs
    Given a configuration that splits a route 90 to one and 10 to two
    Then of 50 requests 45 go to one and 5 to two

  Scenario Outline: Many nodes with few requests each keep to the weights in total
    Given <nodes> nodes that split requests by the weights <weights>
    When each gets <least> to <most> requests
    Then the share of each part is within 0.05 of its weight

    Examples:
      | nodes | weights  | least | most |
      | 75    | 90 10    | 2     | 4    |
      | 75    | 50 50    | 1     | 5    |
      | 75    | 50 30 20 | 1     | 5    |
      | 75    | 97 3     | 2     | 4    |
      | 300   | 70 30    | 1     | 1    |
      | 12    | 80 20    | 17    | 25   |
      | 12    | 50 30 20 | 17    | 25   |

  Scenario Outline: Versions in quick succession don't bias a split
    Given <nodes> nodes that split requests by the weights <weights>
    When they apply 12 versions, with a request each after every version
    Then the share of each part is within 0.05 of its weight

    Examples:
      | nodes | weights  |
      | 12    | 80 20    |
      | 75    | 90 10    |
      | 75    | 50 30 20 |

  Scenario Outline: New weights apply at once
    Given <nodes> nodes that split requests by the weights 90 10
    When each gets 1 to 9 requests
    And the weights become <weights> and each gets <least> to <most> requests
    Then the share of each part is within 0.05 of its weight

    Examples:
      | nodes | weights | least | most |
      | 75    | 10 90   | 2     | 4    |
      | 75    | 60 40   | 2     | 4    |
      | 12    | 10 90   | 17    | 25   |

  Scenario: Two nodes of a data centre follow the store, and others replace them
    Given nodes "a b c d e" of one data centre
    Then 2 of them follow the store
    When the nodes that follow the store are lost
    Then 2 of them follow the store

  Scenario: A delta applied to the older document gives the newer one
    Then 200 random pairs of documents are equal after their delta
    And a change of 3 of 1000 routes takes under 1500 bytes
    And a delta for another document is refused

  Scenario: A VM's address that is reassigned to another service belongs to that service
    Given a node with a record of the node "a" of service desk at 10.0.0.9
    When after 5 s a beacon of node "b" of service feed arrives from 10.0.0.9
    Then service desk has no owner and service feed has 1

  Scenario: An owner that drains counts as restarting for a limited time
    Given a node with a record of the node "a" of service desk at 10.0.0.9
    Then no owner of desk counts as restarting
    When the node at 10.0.0.9 reports that it drains
    Then an owner of desk counts as restarting for 4 s

  Scenario: Malformed messages of peers are rejected
    Then 400 random messages are decoded or rejected

  @golden
  Scenario Outline: A session of traffic decisions equals its golden file
    Then the session of traffic decisions "<session>" equals its golden file

    Examples:
      | session             |
      | traffic-departure   |
      | traffic-full-target |
      | traffic-choice      |

  # Guards against a storm of versions that holds up the requests of a node.
  Scenario: A version that changes few of many routes is decoded in those only
    Given a decoder that has decoded a version with 2000 routes
    When it decodes a version that changes 1 route, adds 1 and removes 1
    Then 1998 routes are those of the version before
    And the version is the same as one decoded alone

  Scenario: An invalid version leaves the decoder as it was
    Given a decoder that has decoded a version with 20 routes
    When it gets a version with a route of no type
    And it decodes a version that changes 1 route, adds 1 and removes 1
    Then 18 routes are those of the version before
    And the version is the same as one decoded alone

  Scenario: An update is encoded once for all peers that request it
    Given a node with versions 1, 2 and 3 of a configuration
    When two peers with version 1 and two with none request an update
    Then both peers of a version get the same encoded update
    And the updates lead to version 3

  # Guards against a node that stays at a version for good, as its document of
  # that number is another one than its peers', so that no delta applies to it.
  Scenario: A delta that does not apply is followed by the whole document
    Given a node with versions 1, 2 and 3 of a configuration
    And another node with a different document of version 1
    When that node hears that the first one has version 3
    Then it requests an update from version 1, then the whole document
    And version 3 is in force at it
