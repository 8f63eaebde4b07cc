Feature: Answers of a target on a kept connection

  Scenario Outline: Only the whole answer to the request itself is taken
    Given a request "r1" on a connection to a target
    When the target sends <bytes>
    Then the request gets <outcome>
    And the connection to the target is <after>

    Examples:
      | bytes                                                             | outcome  | after  |
      | id r1, length 2, hi                                               | hi       | kept   |
      | id r0, length 3, old and id r1, length 2, hi                      | hi       | kept   |
      | id r1, length 2, hi and id r1, length 3, two                      | hi       | closed |
      | id r1, length 2, hi and garbage                                   | hi       | closed |
      | id r1, length 9, hi then ends                                     | a loss   | closed |
      | id r1, no length, hi then ends                                    | hi       | closed |
      | id r1, no length, hi then is reset                                | a loss   | closed |
      | id r1, chunks, hi                                                 | hi       | kept   |
      | id r1, cut chunks, hi then ends                                   | a loss   | closed |
      | garbage                                                           | a loss   | closed |
      | nothing then ends                                                 | a loss   | closed |
      | id r0, length 3, old then ends                                    | a loss   | closed |

  Scenario: Bytes that nobody waits for close the connection
    Given an idle connection to a target
    When the target sends id r0, length 2, hi
    Then the connection to the target is closed
