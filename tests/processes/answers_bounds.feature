Feature: The load that a caller or another node can put on a node is bounded

  Scenario: Calls in flight at one node
    When 5 calls are sent at once to a node that accepts 3 and whose owners don't answer
    Then 2 of them are refused with "too-many-calls" and status 429

  Scenario: Calls of one entry node in flight at an owner
    Given an owner whose target doesn't answer
    When an entry node sends it 1027 calls on one connection
    Then 3 of them are refused with "overloaded-peer"
    And each refusal is recorded for its key

  Scenario: An entry node on an older version that treats a publish as idempotent
    Given an owner whose target doesn't answer
    When an entry node sends it a publish without a key
    Then 1 of them are refused with "key-missing"

  Scenario Outline: An entry node that breaks the protocol
    Given an owner whose target doesn't answer
    When an entry node sends it <fault>
    Then the owner closes the connection

    Examples:
      | fault                           |
      | bytes that are not a frame      |
      | a call before the first frame   |
      | an answer                       |
      | a first frame with a wrong echo |
      | a first frame that is late      |

  Scenario Outline: An owner that breaks the protocol
    When an owner answers a call with <fault>
    Then the call ends with "may-have-run" and "owner-lost"

    Examples:
      | fault                          |
      | an incomplete answer           |
      | more bytes than announced      |
      | an answer twice                |
      | a chunk before its answer      |
      | an answer above the size limit |
      | an unknown reason              |
      | a header name without a value  |

  Scenario: Answers in transit to one entry node
    When two owners announce 3 answers each of the maximum size
    Then 2 of the calls end with "answer-not-kept" before the others

  Scenario: Answers for an entry node that has disconnected
    Given an owner whose target doesn't answer
    When an entry node sends it 5 calls and disconnects before their answers
    Then no bytes are queued at the owner

  Scenario: More connections to an owner than it accepts
    Given an owner whose target doesn't answer
    When 5 entry nodes connect to it and it accepts 3 connections
    Then 3 of them receive a hello and 2 are closed and counted

  Scenario: The member list of a large fleet does not block the event loop
    When an operator requests the member list of a node with 15000 members
    Then it has 15000 members, at most 500 of them read in one iteration of the event loop
