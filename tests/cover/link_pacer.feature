Feature: Large answers on a slow link

  Scenario: Large answers are sent in pieces that leave gaps for small ones
    Given a link of 1000000 bytes a second
    When answers of "80000 80000 80000 80000" bytes are offered at the same time
    Then the backlog of the link never exceeds 20000 bytes
    And all are sent within 0.36 s
    And another large answer would have waited 0.35 s to 0.36 s

  Scenario: Small answers are not delayed by the audio files of a busy feed
    Given a link of 656250 bytes a second
    When for 20 s an answer of 90000 bytes arrives every 0.2 s and one of 500 bytes every 0.02 s
    Then no small answer waits for more than 0.05 s

  Scenario: The shortest answer is sent first, and none is preempted
    Given a link of 1000000 bytes a second
    When answers of "300000 200000 40000 90000" bytes are offered at the same time
    Then they are sent completely in the order "300000 40000 90000 200000"

  Scenario: Answers of one connection keep their order
    Given a link of 1000000 bytes a second
    When answers of "50000 200000 40000" bytes are offered on one connection
    Then they are sent completely in the order "50000 200000 40000"

  Scenario: A closed connection uses no bandwidth
    Given a link of 1000000 bytes a second
    When answers of "900000 90000" bytes are offered and the first one's client disconnects
    Then they are sent completely in the order "90000"
    And all are sent within 0.15 s

  Scenario: A cancelled answer uses no bandwidth
    Given a link of 1000000 bytes a second
    When answers of "50000 900000 90000" bytes are offered and the second one is cancelled
    Then they are sent completely in the order "50000 90000"
    And all are sent within 0.2 s

  Scenario: A fast link adds no delay
    Given a link of 125000000 bytes a second
    When answers of "80000 80000 80000 80000" bytes are offered at the same time
    Then all are sent within 0.01 s

  Scenario: A large answer that the link can't send in time is refused at once
    Given an owner on a link of 1000000 bytes a second
    When 800000 bytes of large answers are queued for its link
    Then it refuses a large request that is useful for 0.6 s
    And it accepts a small request that is useful for 0.6 s
    And it accepts a large request that is useful for 1.2 s
