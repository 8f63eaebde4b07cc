Feature: Removal of claims that callers no longer use

  Scenario: Old claims are removed; newer ones and those bound again are kept
    Given 450 claims bound 8 days ago and 3 bound an hour ago
    When claims older than 7 days are removed while one of them is bound again
    Then 50 of the old claims and the newer ones are left
    When claims older than 7 days are removed
    Then 4 claims are left
    And removing 450 claims took at most 10 writes
