@alone
Feature: Daemons beside targets on the platform

  Background:
    Given VMs of two data centres
      | vm | data centre | service |
      | a1 | bergen      | desk    |
      | a2 | bergen      | desk    |
      | a3 | bergen      | feed    |
      | b1 | voss        | desk    |

  Scenario: A request from any VM is routed to its service and answered
    When on "a3" a client with the header "X-Caller-Service: forged" sends GET "/desk/safe/ok" as "r1"
    Then it gets 200 with the complete answer
    And one target of "desk" executed "r1" once, for "feed" with a deadline of at most 2500 ms

  Scenario Outline: A fault of a target affects only its own request
    When a client on "a1" sends <method> "/desk/<kind>/<mode>" as "r1"
    Then it gets <status>
    And "r1" was executed <times> times

    Examples:
      | method | kind   | mode          | status | times |
      | GET    | safe   | lost-once     | 200    | 2     |
      | DELETE | unsafe | lost-once     | 502    | 1     |
      | DELETE | unsafe | lost          | 502    | 1     |
      | GET    | safe   | late          | 200    | 1     |
      | POST   | unsafe | late          | 200    | 1     |
      | POST   | unsafe | cut           | 502    | 1     |
      | POST   | unsafe | unsigned      | 502    | 1     |
      | POST   | unsafe | shed          | 503    | 0     |
      | POST   | unsafe | shed-once     | 200    | 1     |
      | POST   | unsafe | error         | 500    | 1     |

  Scenario: Unknown routes and smuggled requests are refused
    When a client on "a1" sends GET "/nowhere/ok" as "r1"
    Then it gets 404
    When a client on "a1" sends a request that smuggles another one
    Then no target executed a request

  Scenario Outline: A request with a deadline that is no time is refused
    When on "a1" a client with the header "X-Deadline-Ms: <value>" sends GET "/desk/safe/ok" as "r1"
    Then it gets 400
    And "r1" was executed 0 times

    Examples:
      | value |
      | inf   |
      | nan   |
      | -1    |

  Scenario: The number of slots is never exceeded, and excess requests are refused at once
    When clients on all VMs send 60 requests "/desk/safe/slow" at the same time
    Then some of them get 200 and the others 503 with a Retry-After header
    And no target ever ran more than 4 requests at a time

  Scenario: A target that drains gets no more requests
    When target "a1" reports that it drains
    And clients on all VMs send 40 requests "/desk/safe/ok" one after the other
    Then all of them get 200
    And target "a1" has executed no request since

  Scenario: A target that has departed gets no requests from a restarted daemon
    When target "a1" departs and stops its heartbeats
    And the daemon of "a1" is killed and started again
    Then within 5 s the daemon of "a1" is ready
    When clients on all VMs send 40 requests "/desk/safe/ok" one after the other
    Then all of them get 200
    And target "a1" has executed no request since

  Scenario: Large answers are sent in pieces and complete, concurrently with small ones
    When clients on all VMs request 24 large answers of "/desk/safe/large" and 24 small ones
    Then each gets its own answer completely

  Scenario: A planned stop truncates no large answer
    Given clients on "a2" request 12 large answers of "/desk/safe/large" without waiting
    When the daemon of "a2" gets SIGTERM
    Then each gets its own answer completely
    And the daemon of "a2" exits with code 0 within 6 s

  Scenario: A planned stop interrupts no request
    When a client on "a2" sends POST "/desk/unsafe/slow" as "r1" without waiting
    And the daemon of "a2" gets SIGTERM while 30 requests follow
    Then all of them get 200
    And the daemon of "a2" exits with code 0 within 6 s
    And none was executed twice

  Scenario: A planned stop answers each accepted connection
    Given clients open a connection for each request "/desk/safe/ok" on "a2"
    When the daemon of "a2" gets SIGTERM
    Then the daemon of "a2" exits with code 0 within 6 s
    And every call was answered, or refused when it connected

  Scenario: The requests of a killed daemon are not executed twice
    When 12 clients on "a3" send POST "/desk/unsafe/slow" without waiting
    And the daemons of "a1 b1" are killed
    Then each gets 200, 502 or 503
    And none was executed twice
    And none that got 503 was executed

  Scenario: A frozen daemon delays only requests that are not idempotent
    When the daemon of "a2" is frozen
    And clients on "a3" send 20 requests "/desk/safe/ok" one after the other
    Then all of them get 200

  Scenario: The disconnection of a client aborts the execution of its request
    When a client on "a3" sends GET "/desk/safe/slow" and disconnects after 0.2 s
    Then within 0.5 s its execution at the target is aborted

  Scenario: A new version comes into force on all VMs, also on one that the store refuses
    When the store refuses the VM "a2"
    And version 3 moves the routes of "desk" to "feed"
    Then within 2 s requests "/desk/safe/ok" on all VMs are executed by "feed"
    When an older version 2 is written
    And the store loses its history
    And version 5 moves the routes of "feed" to "desk"
    Then within 2 s requests "/feed/safe/ok" on all VMs are executed by "desk"

  Scenario: The store is unavailable
    When the store is unavailable
    And the daemon of "a1" is killed and started again
    Then within 2 s of its start the daemon of "a1" is ready
    And clients on all VMs get 200 for "/desk/safe/ok"

  # Guards against versions that never come into force after the store was
  # restored, and against nodes that nobody finds any more.
  Scenario: The store comes back from an older copy
    Given a copy of the store without the rows of the VMs "a2 b1"
    When version 3 moves the routes of "desk" to "feed"
    Then within 2 s requests "/desk/safe/ok" on all VMs are executed by "feed"
    When the store is away for 1 s and comes back from the copy
    And 12 rows that nobody reads are written to it
    And version 5 moves the routes of "feed" to "desk"
    Then within 3 s requests "/feed/safe/ok" on all VMs are executed by "desk"
    And within 3 s the store has the rows of all VMs

  Scenario: All daemons are killed at once
    When all daemons are killed and started again
    Then within 3 s of their starts clients on all VMs get 200 for "/desk/safe/ok"
    And no start took more than 1.5 s of CPU time
