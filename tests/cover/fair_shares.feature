Feature: Fair shares among client accounts where targets are short of slots

  Scenario Outline: One hot account among 72
    Given 72 accounts that send <load> times what the targets can execute
    And the first one sends 7 times its usual and has a limit of twice the usual
    When 10 seeds are played with the order by arrival and with shares
    Then the worst tenth of the other accounts is served better with shares
    And Jain's index does not fall
    And the first account is not starved
    And as many requests are served

    Examples:
      | load |
      | 0.9  |
      | 1.2  |
      | 1.7  |
