Feature: Outcomes of publishing over HTTP are true when the platform fails

  Background:
    Given a platform

  Scenario Outline: The outcome that an operator is told is true
    Given the platform has the faults <faults>
    When change "a" is published
    Then the outcome for the publisher is "<first>"
    When the platform has no faults
    And change "a" is published
    Then the outcome for the publisher is "accepted 1"
    And the history contains "a"

    Examples:
      | faults                                       | first       |
      | {"down": true}                               | unavailable |
      | {"serve_first": 2}                           | unavailable |
      | {"serve_first": 3}                           | unavailable |
      | {"lose_after": 1, "lose_replies": 1}         | accepted 1  |
      | {"lose_after": 0, "lose_replies": 1}         | accepted 1  |
      | {"lose_after": 0, "lose_replies": 1, "lost_status": 502} | unavailable |
      | {"lose_after": 1, "lose_replies": 1, "lost_status": 502} | accepted 1 |
      | {"lose_after": 1, "lose_replies": 1, "lost_status": 502, "serve_first": 4} | unknown |
      | {"lose_after": 1, "lose_replies": 1, "serve_first": 4} | unknown |
      | {"delay_s": 3}                               | unavailable |
      | {"garbage": true}                            | unavailable |

  Scenario: Ten operators race
    When 10 operators publish from version 0 at the same time
    Then 1 change is accepted and 9 conflicts name it

  Scenario: Ten operators read again after each conflict
    When 10 operators retry their publishes until accepted
    Then the history contains each change once, in the order of acceptance

  Scenario: A publish returns the revision that the next one expects
    When changes "a b c" are published, each based on the one before
    Then each publish returned the revision of the platform's head
