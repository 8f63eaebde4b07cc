Feature: Large answers on a slow link

  Scenario: Pieces of large answers leave the link free for small ones
    Given a link of 1000000 bytes a second
    When answers of "80000 80000 80000 80000" bytes are offered at the same time
    Then the link never has more than 20000 bytes to send
    And all are sent within 0.36 s
    And another one would have waited 0.35 s to 0.36 s

  Scenario: Small answers pass beside the audio of a busy feed
    Given a link of 656250 bytes a second
    When for 20 s an answer of 90000 bytes comes each 0.2 s and one of 500 bytes each 0.02 s
    Then no small answer waits for more than 0.05 s

  Scenario: The shortest answer goes first, and none is interrupted
    Given a link of 1000000 bytes a second
    When answers of "300000 200000 40000 90000" bytes are offered at the same time
    Then they end in the order "300000 40000 90000 200000"

  Scenario: Answers of one connection keep their order
    Given a link of 1000000 bytes a second
    When answers of "50000 200000 40000" bytes are offered on one connection
    Then they end in the order "50000 200000 40000"

  Scenario: A closed connection takes nothing of the link
    Given a link of 1000000 bytes a second
    When answers of "900000 90000" bytes are offered and the first one's client leaves
    Then they end in the order "90000"
    And all are sent within 0.15 s

  Scenario: An answer that nobody waits for any more takes nothing of the link
    Given a link of 1000000 bytes a second
    When answers of "50000 900000 90000" bytes are offered and the second one is cancelled
    Then they end in the order "50000 90000"
    And all are sent within 0.2 s

  Scenario: A fast link holds up nothing
    Given a link of 125000000 bytes a second
    When answers of "80000 80000 80000 80000" bytes are offered at the same time
    Then all are sent within 0.01 s

  Scenario: A large answer that the link can't send in time is refused at once
    Given an owner on a link of 1000000 bytes a second
    When 800000 bytes of large answers wait for its link
    Then it refuses a large request that is of use for 0.6 s
    And it takes a small request that is of use for 0.6 s
    And it takes a large request that is of use for 1.2 s
