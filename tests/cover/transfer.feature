Feature: Answer to a client after several attempts

  Scenario Outline: A request whose answer was lost is not reported as not run
    Given an idempotent request, owners "<owners>" and an allowed retry
    When attempts end with "<ends>"
    Then the client gets <status>
    And these owners were tried: "<tried>"

    Examples:
      | owners | ends                  | status | tried |
      | a b    | lost, served          | 200    | a b   |
      | a b    | lost, full            | 502    | a b   |
      | a b    | lost, lost            | 502    | a b   |
      | a      | lost, served          | 200    | a a   |
      | a      | lost, full            | 502    | a a   |
      | a b    | full, full            | 503    | a b   |
      | a b    | error, full           | 500    | a b   |
      | a      | shed                  | 503    | a     |

  Scenario: A request that finds no owner after its answer was lost is not reported as not run
    Given an idempotent request, owners "a" and an allowed retry
    When attempts end with "lost" and no owner is left
    Then the client gets 502

  Scenario: Refusals do not raise the share of a new release
    Given an idempotent request, owners "a b c new" and an allowed retry
    When many requests are refused by all owners
    Then the new target was asked by its share of them
