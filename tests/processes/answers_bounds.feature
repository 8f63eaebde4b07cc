Feature: What a caller or another node can cost a node is bounded

  Scenario: Calls in flight at one node
    When 5 calls are sent at once to a node that takes 3 and whose owners don't answer
    Then 2 of them are refused with "too-many-calls" and status 429

  Scenario: Calls of one entry node in flight at an owner
    Given an owner whose target doesn't answer
    When an entry node sends it 1027 calls on one connection
    Then 3 of them are refused with "overloaded-peer"
    And each refusal is recorded for its key

  Scenario: An entry node on an older version that takes a publish for harmless
    Given an owner whose target doesn't answer
    When an entry node sends it a publish without a key
    Then 1 of them are refused with "key-missing"

  Scenario Outline: An entry node that breaks the protocol
    Given an owner whose target doesn't answer
    When an entry node sends it <fault>
    Then the owner closes the connection

    Examples:
      | fault                          |
      | bytes that are no frame        |
      | a call before the first frame  |
      | an answer                      |
      | a first frame of another owner |
      | a first frame that is late     |

  Scenario Outline: An owner that breaks the protocol
    When an owner answers a call with <fault>
    Then the call ends with "may-have-run" and "owner-lost"

    Examples:
      | fault                            |
      | half of an answer                |
      | more than it said                |
      | an answer twice                  |
      | a chunk before its answer        |
      | an answer of more than the limit |
      | an unknown reason                |
      | a header name without a value    |

  Scenario: Answers under way to one entry node
    When two owners announce 3 answers each that are as large as may be
    Then 2 of the calls end with "answer-not-kept" before the others

  Scenario: Answers for an entry node that has gone
    Given an owner whose target doesn't answer
    When an entry node sends it 5 calls and goes away before their answers
    Then nothing waits at the owner

  Scenario: Connections to an owner beyond the bound
    Given an owner whose target doesn't answer
    When 5 entry nodes connect to it and it takes 3 connections
    Then 3 of them are greeted and 2 are closed and counted

  Scenario: The list of a large fleet holds up nothing else
    When an operator asks a node that knows 15000 members for its list
    Then it names 15000 members, and at most 500 of them in one turn of the node's loop
