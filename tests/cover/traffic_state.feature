Feature: What a node knows of its target, its peers and the configuration

  Scenario: A heartbeat that was overtaken changes nothing
    Given the node of target address 10.0.0.7:80 in service desk
    When heartbeats arrive
      | id | born | sequence | state    | slots |
      | a  | 1000 | 1        | ready    | 9     |
      | a  | 1000 | 3        | draining | 9     |
      | a  | 1000 | 2        | ready    | 9     |
    Then the target is "a", draining, with 9 slots

  Scenario: A late heartbeat of the process before does not bring it back
    Given the node of target address 10.0.0.7:80 in service desk
    When heartbeats arrive
      | id | born | sequence | state    | slots |
      | a  | 1000 | 7        | ready    | 9     |
      | b  | 2000 | 1        | ready    | 5     |
      | a  | 1000 | 8        | draining | 9     |
    Then the target is "b", ready, with 5 slots

  Scenario: A process that starts again under its id counts anew
    Given the node of target address 10.0.0.7:80 in service desk
    When heartbeats arrive
      | id | born | sequence | state    | slots |
      | a  | 1000 | 7        | draining | 9     |
      | a  | 2000 | 1        | ready    | 9     |
    Then the target is "a", ready, with 9 slots

  Scenario: A target that has left does not come back by a late heartbeat
    Given the node of target address 10.0.0.7:80 in service desk
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 1000 | 1        | ready | 9     |
    And target "a" leaves
    And heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 1000 | 2        | ready | 9     |
    Then the target is "a", draining, with 9 slots

  Scenario: A process that has just started asks the target before its heartbeat
    Given the node of target address 10.0.0.7:80 in service desk
    When a health check is answered by "a"
    Then the target is "a", ready, with 4 slots
    When a peer knows 9 slots
    Then the target is "a", ready, with 9 slots
    When heartbeats arrive
      | id | born | sequence | state    | slots |
      | a  | 1000 | 5        | draining | 7     |
    Then the target is "a", draining, with 7 slots

  Scenario: A process that has just started hears that its target leaves
    Given the node of target address 10.0.0.7:80 in service desk
    When a peer knows that "a", born 1000, leaves
    Then a health check answered by "a" tells of no target
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 1000 | 4        | ready | 7     |
    Then the target is unknown
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 2000 | 1        | ready | 7     |
    Then the target is "a", ready, with 7 slots

  Scenario: A target that leaves before its first heartbeat at a new process is left alone
    Given the node of target address 10.0.0.7:80 in service desk
    When target "a" leaves
    Then a health check answered by "a" tells of no target
    When heartbeats arrive
      | id | born | sequence | state | slots |
      | a  | 1000 | 4        | ready | 7     |
    Then the target is unknown

  Scenario: Peers are told of a departure also by a process that knew no target
    Given the node of target address 10.0.0.7:80 in service desk
    When target "a" leaves
    Then peers are told that "a", born 0, leaves

  Scenario: Departures are remembered without end of memory
    Given the node of target address 10.0.0.7:80 in service desk
    When 1000 targets leave one after the other
    Then at most 32 departures are remembered
    And peers are told that "t999", born 0, leaves

  Scenario: It hears that its target leaves after it has found it healthy
    Given the node of target address 10.0.0.7:80 in service desk
    When a health check is answered by "a"
    And a peer knows that "a", born 1000, leaves
    Then the target is "a", draining, with 4 slots

  Scenario Outline: A heartbeat of another writer names no target
    Then the heartbeat <body> can't be read

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

  Scenario: The route with the longest prefix is taken
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

  Scenario Outline: Many nodes with few requests each keep to the weights together
    Given <nodes> nodes that deal requests by the weights <weights>
    When each gets <least> to <most> requests
    Then no part's share is more than 0.05 off its weight

    Examples:
      | nodes | weights  | least | most |
      | 75    | 90 10    | 2     | 4    |
      | 75    | 50 50    | 1     | 5    |
      | 75    | 50 30 20 | 1     | 5    |
      | 75    | 97 3     | 2     | 4    |
      | 300   | 70 30    | 1     | 1    |
      | 12    | 80 20    | 17    | 25   |
      | 12    | 50 30 20 | 17    | 25   |

  Scenario Outline: Versions in quick succession don't favour a part
    Given <nodes> nodes that deal requests by the weights <weights>
    When they take 12 versions, with a request each after every version
    Then no part's share is more than 0.05 off its weight

    Examples:
      | nodes | weights  |
      | 12    | 80 20    |
      | 75    | 90 10    |
      | 75    | 50 30 20 |

  Scenario Outline: New weights are kept to at once
    Given <nodes> nodes that deal requests by the weights 90 10
    When each gets 1 to 9 requests
    And the weights become <weights> and each gets <least> to <most> requests
    Then no part's share is more than 0.05 off its weight

    Examples:
      | nodes | weights | least | most |
      | 75    | 10 90   | 2     | 4    |
      | 75    | 60 40   | 2     | 4    |
      | 12    | 10 90   | 17    | 25   |

  Scenario: Two nodes of a data centre follow the store, and others step in
    Given nodes "a b c d e" of one data centre
    Then 2 of them follow the store
    When the nodes that follow the store are lost
    Then 2 of them follow the store

  Scenario: A delta makes the newer document of the older one
    Then 200 random pairs of documents are equal after their delta
    And a change of 3 of 1000 routes takes under 1500 bytes
    And a delta for another document is refused

  Scenario: A VM's address given to another service names that service
    Given a node that knows the node "a" of service desk at 10.0.0.9
    When after 5 s a beacon of node "b" of service feed comes from 10.0.0.9
    Then service desk has no owner and service feed has 1

  Scenario: Nodes of a service that are stopped in turn take turns
    Given a node that knows the node "a" of service desk at 10.0.0.9
    Then no owner of desk is restarting
    When the node at 10.0.0.9 says that it takes no work
    Then an owner of desk is restarting for 4 s

  Scenario: What peers send can't break a node
    Then 400 random messages are read or refused

  @golden
  Scenario Outline: A session of decisions on requests reads as its golden file
    Then the session of decisions "<session>" equals its golden file

    Examples:
      | session             |
      | traffic-departure   |
      | traffic-full-target |
      | traffic-choice      |
