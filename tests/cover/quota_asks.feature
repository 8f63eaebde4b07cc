Feature: Asks for tokens that are answered late

  # The first node was slow once, and has to ask other parts for tokens then.
  Scenario: A pending answer for a request that is decided asks nobody again
    Given a request that asks a second node for a token since a first one is silent
    When the second node grants a token
    And the first node answers 0.05 s later that its answer is pending
    And the first node grants a token 0.05 s later
    Then no third node is asked and no node suspected within 1 s

  Scenario: A pending answer of the first node keeps the ask of the second one
    Given a request that asks a second node for a token since a first one is silent
    When the first node answers 0.01 s later that its answer is pending
    And the second node grants a token
    Then no third node is asked and no node suspected within 1 s

  # Networks deliver some datagrams twice.
  Scenario: Tokens that arrive twice count once
    Given a node with an empty bucket
    When a datagram that gives it 2 tokens arrives twice, and another one once
    Then its bucket has 4 tokens

  Scenario: Nothing is kept for accounts that were removed or never existed
    Given a node with an empty bucket
    When 50 versions replace all accounts, and others ask for unknown ones
    Then it keeps the holders of no account but those in force
