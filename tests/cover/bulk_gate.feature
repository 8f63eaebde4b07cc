Feature: Large answers on a slow link

  Scenario: Large answers are paced, so that small ones find the link free
    Given a link of 1000000 bytes a second
    When 4 answers of 80000 bytes are offered at the same time
    Then they are sent 0.1 s apart
    And after the first one the next would have waited 0.4 s

  Scenario: A fast link holds up nothing
    Given a link of 125000000 bytes a second
    When 4 answers of 80000 bytes are offered at the same time
    Then they are sent within 0.01 s
