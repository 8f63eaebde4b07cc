@shared_fleet @data_centres.2 @copies.1 @log_level.debug
Feature: Each caller gets the complete answer to its own request, or an error

  Scenario: A thousand interleaved calls
    When 1000 reads of mixed sizes are sent, 40 at a time, through every node
    Then every read got its own complete answer

  Scenario: Answers that the target truncates
    Given the targets of "desk" truncate 4 answers each
    When 12 publishes with answers of 200000 bytes are sent one after the other
    Then 4 of them got "may-have-run" with reason "answer-truncated"
    And the others got their own complete answers

  Scenario: Answers that arrive after the deadlines of their calls
    Given no target of "desk" holds a slot
    When 10 reads with a deadline of 300 ms and 600 ms of work are started through "feed-bergen-1"
    Then every verdict is "may-have-run"
    When 20 reads of mixed sizes are sent, 20 at a time, through every node
    Then every read got its own complete answer

  Scenario Outline: The largest answer
    When a caller reads an answer of <length> <form> bytes from "desk" through "feed-bergen-1"
    Then the verdict is "<verdict>" with reason "<reason>"

    Examples:
      | length   | form    | verdict      | reason           |
      | 67108864 | plain   | ran          | served           |
      | 67108865 | plain   | may-have-run | answer-too-large |
      | 67108865 | chunked | may-have-run | answer-too-large |
