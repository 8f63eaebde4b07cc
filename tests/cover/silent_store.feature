Feature: Connections to the platform's store that fall silent without a reset

  # Guards against versions that are late because nobody notices a silent feed.
  Scenario Outline: A version written behind a silent connection is read in time
    Given a node that follows versions which have to be in force within <apply> s
    And its call of the feed has waited <waited> s for a change
    When its connection falls silent without a reset
    And a version is written
    Then the version is read within <apply> s

    Examples:
      | apply | waited |
      | 2     | 0      |
      | 2     | 0.5    |
      | 2.5   | 0.1    |
      | 3     | 1      |

  # Guards against a store that is slow being taken for one that is silent.
  Scenario: A slow store is followed without losing it
    Given a node that follows versions which have to be in force within 2 s
    When the store takes 0.8 s for each answer
    And a version is written
    Then the version is read within 2 s
    And the store has not been lost

  # Guards against a second silent connection being used after the first.
  Scenario: After an unanswered call other idle connections are not used again
    Given a link to a store with 2 idle connections
    When these connections fall silent without a reset
    Then a call ends unanswered after its timeout
    And the next call is answered at once on a new connection

  Scenario: A call on a new connection closes the idle ones
    Given a link to a store with 2 idle connections
    When these connections fall silent without a reset
    Then a call on a new connection is answered at once
    And the next call is answered at once on that connection

  # Guards against a node that takes over and reads every version since its
  # last call over a narrow link, until its call times out.
  Scenario: A node that begins to follow reads the newest version only
    Given a node that follows versions which have to be in force within 2.5 s
    And it does not follow them at first
    And 20 versions of 200 KB are written behind a link of 10 Mbit/s
    When it begins to follow them
    Then the newest version is read within 1 s
    And the store has not been lost

  # Guards against a node that takes over from a lost reader and is late itself,
  # as its first read waits on a connection that has fallen silent.
  Scenario Outline: A node that begins to follow reads on a connection that answers
    Given a node that follows versions which have to be in force within <apply> s
    And it does not follow them at first
    When its idle connections fall silent without a reset
    And a version is written
    And it begins to follow them
    Then the version is read within 0.5 s
    And the store has not been lost

    Examples:
      | apply |
      | 2     |
      | 2.5   |

  # Guards against a first read that waits as long as a version may take.
  Scenario: A node that begins to follow gives up a read without an answer in time
    Given a node that follows versions which have to be in force within 2 s
    And it does not follow them at first
    And its next call is not answered
    When a version is written
    And it begins to follow them
    Then the version is read within 2 s

  # Guards against a row that counts as removed, and never comes back, since an
  # outdated copy of the store lacks it.
  Scenario: A node that begins to follow removes nothing that an outdated answer lacks
    Given a node that follows versions which have to be in force within 2.5 s
    And rows "a b" in the table, which it has read
    And a copy of the store from before row "c", which it has read
    And it does not follow them at first
    When the store answers whole reads from the copy
    And row "d" is written
    And it begins to follow them
    Then within 1 s it has been told of "d" only, as a change

  # Guards against an order that is withdrawn or given while nobody follows the
  # table, and is not seen, or taken for an old one, by the node that takes over.
  Scenario: A node that begins to follow is told of what has changed
    Given a node that follows versions which have to be in force within 2.5 s
    And rows "a b" in the table, which it has read
    And it does not follow them at first
    When row "a" is removed and row "c" is written
    And it begins to follow them
    Then within 1 s it has been told of the removal of "a" and of "c" as changes

  Scenario: A node that begins to follow a restored store reads all rows
    Given a node that follows versions which have to be in force within 2.5 s
    And rows "a b" in the table, which it has read
    And it does not follow them at first
    When the store is restored and row "c" is written
    And it begins to follow them
    Then within 2 s it has been told of "a b c" as the whole table

  # Guards against a large answer given up as silence.
  Scenario Outline: An answer that has begun is awaited while its bytes arrive
    Given a store that sends an answer in <pieces> pieces, one each 0.1 s
    When a call of 0.3 s is sent to it
    Then the call is answered with <pieces> pieces

    Examples:
      | pieces |
      | 2      |
      | 10     |

  Scenario: An answer that stops midway is given up
    Given a store that sends an answer in 3 pieces, one each 0.1 s, and stops before the last
    When a call of 0.3 s is sent to it
    Then the call ends unanswered within 2 s
