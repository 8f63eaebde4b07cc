Feature: A key is executed at most once and its verdicts are true

  @golden
  Scenario: A trace of the owner's key table
    Given a key table with room for 3 entries and 100 bytes
    When it handles these events
      | at  | event                  |
      | 0   | begin a0 request-1     |
      | 1   | begin a0 request-1     |
      | 2   | begin a0 request-2     |
      | 3   | finish a0 60 bytes     |
      | 4   | begin a0 request-1     |
      | 5   | begin b0 request-1     |
      | 6   | release b0             |
      | 7   | begin b0 request-1     |
      | 8   | begin c0 request-1     |
      | 9   | begin d0 request-1     |
      | 10  | begin e0 request-1     |
      | 11  | finish c0 60 bytes     |
      | 12  | begin a0 request-1     |
      | 13  | begin c0 request-1     |
      | 14  | begin f1 request-1     |
      | 310 | begin f2 request-1     |
      | 311 | begin a0 request-1     |
      | 312 | begin g2 request-1     |
      | 313 | finish f2 200 bytes    |
      | 314 | begin f2 request-1     |
      | 315 | begin h9 request-1     |
      | 920 | begin x4 request-1     |
      | 921 | begin y2 request-1     |
      | 922 | begin f2 request-1     |
      | 923 | begin z3 of another incarnation |
    Then the trace matches the golden file "key_table"

  Scenario: A refusal for lack of room applies to every copy of the request
    Given a key table with room for 1 entries and 100 bytes
    When it handles these events
      | at  | event              |
      | 0   | begin a0 request-1 |
      | 1   | finish a0 0 bytes  |
      | 650 | begin b2 request-1 |
      | 950 | begin b2 request-1 |
    Then the last decision for "b2" is not Begin

  Scenario Outline: The verdict of one call
    Given a call whose key is <source>
    When it handles the events "<events>"
    Then it concludes with "<verdict>"

    Examples: nothing was sent
      | source  | events                          | verdict                                |
      | minted  | minted, unsent                  | not-run owner-unreachable              |
      | minted  | no-owner                        | not-run no-target                      |
      | minted  | minted, replaced                | not-run owner-replaced                 |
      | bound   | unsent*6                        | may-have-run owner-unreachable         |
      | bound   | replaced                        | may-have-run owner-replaced            |
      | claimed | found, unsent*6                 | may-have-run owner-unreachable         |
      | claimed | found, replaced                 | may-have-run owner-replaced            |
      | claimed | none, minted, bound, unsent*6   | may-have-run owner-unreachable         |
      | claimed | none, minted, taken, unsent*6   | may-have-run owner-unreachable         |
      | claimed | store-failure                   | not-run key-store-unavailable          |
      | bound   | deadline                        | may-have-run deadline-passed           |
      | minted  | minted, deadline                | not-run deadline-passed                |

    Examples: an answer was lost
      | source  | events                                      | verdict                      |
      | minted  | minted, sent, lost, sent, ran               | ran served                   |
      | minted  | minted, sent, lost, sent, not-run queue-full | not-run queue-full          |
      | minted  | minted, sent, lost, unsent*5                | may-have-run owner-unreachable |
      | minted  | minted, sent, lost, replaced                | may-have-run owner-replaced  |
      | minted  | minted, sent, lost, deadline                | may-have-run deadline-passed |
      | minted  | minted, sent, deadline                      | may-have-run deadline-passed |
      | minted  | minted, sent, lost, sent, may-have-run key-expired | may-have-run key-expired |
      | minted  | minted, sent, may-have-run key-expired      | not-run key-expired          |
      | claimed | found, sent, may-have-run key-expired       | may-have-run key-expired     |

    Examples: the key was released
      | source  | events                                                     | verdict                            |
      | claimed | found, sent, not-run key-released, minted, bound, sent, ran | ran served                        |
      | claimed | found, sent, not-run key-released, no-owner, found         | not-run no-target                  |
      | claimed | found, sent, not-run key-released, no-owner, found-other, sent, ran | ran served                |
      | claimed | found, sent, not-run key-released, no-owner, store-failure | may-have-run key-store-unavailable |
      | claimed | found, sent, not-run key-reused                            | not-run key-reused                 |
      | bound   | sent, not-run key-released                                 | not-run key-released               |

  Scenario: Random deliveries, losses, refusals and restarts
    Then 1000 random histories keep the invariants

  Scenario: Raised incarnations and second processes under an owner's id
    Then 500 random histories with second processes keep the invariants
