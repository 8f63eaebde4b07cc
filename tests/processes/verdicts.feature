@shared_fleet @data_centres.1 @copies.1
Feature: Errors carry verdicts and are counted

  Scenario Outline: Bytes that are not a request
    When a caller sends "feed-bergen-1" a raw request with <fault>
    Then the raw response has verdict "not-run" and reason "malformed-header"
    And the counter "guavawing_refusals_total" of "feed-bergen-1" with reason "malformed-header" is above 0

    Examples:
      | fault              |
      | a bad request line |
      | a bad header       |
      | a long header      |

  Scenario: Too many headers
    When a caller sends "desk" a request with 120 headers through "feed-bergen-1"
    Then the verdict is "not-run" with reason "headers-too-large"
    And the status is 431
    And the counter "guavawing_refusals_total" of "feed-bergen-1" with reason "headers-too-large" is above 0

  Scenario: A call whose target does not answer ends soon after its deadline
    Given the target of "desk-bergen-1" is frozen
    When a caller reads "desk" through "feed-bergen-1" with a deadline of 700 ms
    Then the answer comes within 3 s
    And the verdict is "may-have-run" because the deadline has passed

  Scenario: The layer that has retried marks the budget as spent
    Given the targets of "desk" drop 20 answers each
    When a caller reads "desk" through "feed-bergen-1"
    Then the verdict is "may-have-run" with reason "target-broke"
    And the header "Guavawing-Budget-Spent" is "1"
