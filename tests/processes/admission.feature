@alone @shared_fleet @data_centres.1 @copies.1
Feature: A target never runs more calls than it has slots, by its own count

  Scenario: A slot stays occupied while the target works on an abandoned call
    When 3 waves of 10 reads of 1500 ms with a deadline of 300 ms are sent to "desk"
    Then every call is answered within 1300 ms
    And the target of "desk-bergen-1" has run at most 10 calls at a time
    And the target of "desk-bergen-1" has had at most 11 connections at a time

  Scenario: Urgent calls are served in time at twice the capacity
    When for 4 s, 60 urgent and 340 bulk calls of 50 ms are sent to "feed" each second
    Then every urgent call is served within 1000 ms plus the response delay of the nodes
    And the median urgent call is faster than the median served bulk call
    And at least 30 bulk calls are served
    And at least 300 bulk calls are refused as not run, with a Retry-After header
    And every refusal has a reason that an owner gives
    And the target of "feed-bergen-1" has run at most 10 calls at a time
    And the target of "feed-bergen-1" has had at most 11 connections at a time

  Scenario Outline: Queued calls of callers that have gone or timed out never reach the target
    When 10 calls of 800 ms run and 10 more wait at "desk-bergen-1", and then <event>
    Then only the first 10 calls reached the target of "desk-bergen-1"

    Examples:
      | event                                                |
      | the waiting callers disconnect                       |
      | the node is paused until the callers' deadlines pass |

  Scenario: A target that ends its work at the deadline frees its slots
    Given the target of "desk-bergen-1" ends its work at the deadline
    When 1 waves of 10 reads of 60000 ms with a deadline of 300 ms are sent to "desk"
    Then within 1 s no call holds a slot at "desk-bergen-1"

  Scenario: Abandoned calls that hold a slot are shown in the status
    Given the target of "desk-bergen-1" continues its work at the deadline
    When 1 waves of 4 reads of 1500 ms with a deadline of 300 ms are sent to "desk"
    Then the status of "desk-bergen-1" shows 4 abandoned calls
    And within 3 s no call holds a slot at "desk-bergen-1"
