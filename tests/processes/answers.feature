@shared_fleet @data_centres.2 @copies.1
Feature: Each caller gets the whole answer to its own request, or an error

  Scenario: A thousand interleaved calls
    When 1000 reads of mixed sizes are sent, 40 at a time, through every node
    Then every read got the whole of its own answer

  Scenario: Answers that are cut off
    Given the targets of "desk" cut off 4 answers each
    When 12 publishes with answers of 200000 bytes are sent in turn
    Then 4 of them got "may-have-run" with reason "answer-truncated"
    And the others got the whole of their own answer

  Scenario: Answers that come after their callers have gone
    Given no target of "desk" holds a slot
    When 10 reads of 300 ms that work 600 ms are started through "feed-bergen-1"
    Then every verdict is "may-have-run"
    When 20 reads of mixed sizes are sent, 20 at a time, through every node
    Then every read got the whole of its own answer

  Scenario Outline: The largest answer
    When a caller reads "desk" for <length> <form> bytes through "feed-bergen-1"
    Then the verdict is "<verdict>" with reason "<reason>"

    Examples:
      | length   | form    | verdict      | reason           |
      | 67108864 | plain   | ran          | served           |
      | 67108865 | plain   | may-have-run | answer-too-large |
      | 67108865 | chunked | may-have-run | answer-too-large |
