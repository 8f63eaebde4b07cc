Feature: Quotas of client accounts over the whole fleet

  Scenario: One hot account among 72
    Given 72 accounts with 100 requests a second, 4 large
    And the first one sends 7 times as much
    When 50 seeds are played
    Then no account exceeds its quota in any window
    And the worst tenth of accounts gets 0.9 of what it may have, and Jain's index is 0.98

  Scenario Outline: Competition above the limits, with repeats
    Given 20 accounts with 100 requests a second, 4 large
    And their clients send <use> times the limits
    And clients repeat 2 times at once
    When 6 seeds are played
    Then no account exceeds its quota in any window
    And the worst tenth of accounts gets 0.9 of what it may have, and Jain's index is 0.98

    Examples:
      | use |
      | 1.2 |
      | 1.7 |

  Scenario: Clients of each account in one data centre
    Given 20 accounts with 100 requests a second, 4 large
    And the clients of each account prefer one data centre
    When 6 seeds are played
    Then no account exceeds its quota in any window
    And the worst tenth of accounts gets 0.9 of what it may have, and Jain's index is 0.98

  Scenario: Many small accounts on many nodes
    Given 150 accounts with 75 requests a second, 0 large
    When 6 seeds are played
    Then no account exceeds its quota in any window
    And the worst tenth of accounts gets 0.9 of what it may have, and Jain's index is 0.98

  Scenario Outline: A failure at the peak
    Given 20 accounts with 100 requests a second, 4 large
    And their clients send 1.7 times the limits
    And during the load this happens: "<fault>"
    When 6 seeds are played
    Then no account exceeds its quota in any window
    And the worst tenth of accounts gets <share> of what it may have, and Jain's index is 0.95

    Examples:
      | fault                                         | share |
      | the holders of the largest account are killed | 0.85  |
      | all nodes lose power                          | 0.6   |
      | half of the data centres are cut off          | 0.85  |
      | all limits are lowered to a third             | 0.85  |

  Scenario: The Retry-After of a refused request is the time to its token
    Given a bucket of 2 tokens a second that is empty
    Then requests that are refused now are told to wait 0.5, 1.0 and 1.5 s

  Scenario: A process that was paused begins with the tokens of a new holder
    Given a holder of an account of 100 requests a second that is full
    When its process is paused for 3 s
    Then its bucket has at most the tokens of a new holder
    And tokens that arrive at once are ignored

  Scenario: A part of a data centre's nodes gives a part of the quota
    Given a holder of an account of 100 requests a second that is full
    When it hears 2 of 10 near nodes
    Then its bucket gains 5 tokens a second

  Scenario: The margin covers all that may run beyond the quota
    Then 300 random quotas are divided within their margin
