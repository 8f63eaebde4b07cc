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

  Scenario: A large answer that the link can't send in time is refused at once
    Given an owner on a link of 1000000 bytes a second
    When 700000 bytes of large answers wait for its link
    Then it refuses a large request that is of use for 0.6 s
    And it takes a small request that is of use for 0.6 s
    And it takes a large request that is of use for 1.2 s
