Feature: A release is judged by what callers see

  Each scenario plays the decisions of a roll-out over 1,000 seeds: requests are
  drawn, nothing is sent. The terms allow 0.1 of the requests and 50 more, and
  nothing 5 s after the 50th bad answer.

  Scenario Outline: A faulty release is rolled back within its exposure
    Given a release of which <part> of the answers are <fault> <when>
    When it is rolled out with 1000 seeds
    Then it is rolled back in all of them
    And its exposure and its last request stay within the terms

    Examples:
      | part | fault     | when                      |
      | 0.4  | failures  | from the start            |
      | 0.4  | slow      | from the start            |
      | 0.5  | failures  | on one route of ten       |
      | 0.4  | failures  | from half of the time on  |
      | 0.5  | failures  | under the load of all     |
      | 0.4  | slow      | under the load of all     |

  Scenario Outline: A good release is completed beside other trouble
    Given a good release beside <trouble>
    When it is rolled out with 1000 seeds
    Then it is completed in time in all but <wrong> of them

    Examples:
      | trouble                         | wrong |
      | nothing                         | 0     |
      | a called service that fails     | 0     |
      | a slow VM in six                | 10    |
      | targets that need 3 s to warm   | 0     |
      | a data centre cut off for 5 s   | 0     |
      | 30 requests in all              | 0     |
