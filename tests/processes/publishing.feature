Feature: Publishing over HTTP keeps its word when the platform fails

  Background:
    Given a platform

  Scenario Outline: The outcome that an operator is told is true
    Given the platform has the faults <faults>
    When change "a" is published over HTTP
    Then the publisher is told "<first>"
    When the platform has no faults
    And change "a" is published over HTTP
    Then the publisher is told "accepted 1"
    And the platform's history is "a"

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
    When 10 operators publish over HTTP from version 0
    Then 1 change is accepted and 9 conflicts name it over HTTP

  Scenario: Ten operators read again after each conflict
    When 10 operators publish over HTTP until accepted
    Then the platform's history holds the 10 changes once each
