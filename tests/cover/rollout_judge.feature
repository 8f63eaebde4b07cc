Feature: A release is judged by what callers see

  Each scenario plays the decisions of a roll-out with many seeds: requests are
  drawn, nothing is sent. The terms allow 0.1 of the requests and 50 more, and
  nothing 5 s after the 50th bad answer. `behave -D seeds=1000` plays more.

  Scenario Outline: A faulty release is rolled back within its exposure
    Given a release of which <part> of the answers are <fault> <when>
    When it is rolled out with 30 seeds
    Then it is rolled back in all of them
    And its exposure and its last request stay within the terms

    Examples:
      | part | fault    | when                             |
      | 0.4  | failures | from the start                   |
      | 0.4  | slow     | from the start                   |
      | 0.5  | failures | on one route of ten, within 30 s |
      | 0.4  | failures | from half of the time on         |
      | 0.5  | failures | under the load of all            |
      | 0.4  | slow     | under the load of all            |

  Scenario Outline: A good release is completed beside other trouble
    Given a good release beside <trouble>
    When it is rolled out with 30 seeds
    Then it is completed in time in 99 of 100 of them

    Examples:
      | trouble                       |
      | nothing                       |
      | a called service that fails   |
      | a slow VM in six              |
      | targets that need 3 s to warm |
      | a data centre cut off for 5 s |
      | 30 requests in all            |
