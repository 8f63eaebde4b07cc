Feature: The store comes back from an older copy

  # Guards against changes that are never read: versions are given out again, so
  # the feed after a version of before leaves out what was written since.
  Scenario Outline: A watch reads all rows after the store was restored
    Given a node that follows a table of the store
    And rows "a b" that it has read
    And a copy of the store
    And rows "c d" that it has read
    When the store is restored from the copy
    And rows "<written>" are written before the next call
    Then within 1 s it has applied the rows "<written>" of the new era
    And it has read the whole table <reads> times

    Examples: behind, level with and ahead of the version that it had read
      | written | reads |
      | e       | 2     |
      | e f     | 2     |
      | e f g h | 2     |

  Scenario: A call of the feed that waits while the store is restored
    Given a node that follows a table of the store
    And rows "a b" that it has read
    And a copy of the store
    And rows "c d" that it has read
    And it waits for changes
    When the store is restored from the copy while the call waits on
    And rows "e f g" are written
    Then within 1 s it has applied the rows "e f g" of the new era

  # Guards against rows that stay missing after a restore, as the call that
  # waits since before is taken for one without news.
  Scenario: Another call names the new era while the call of the feed waits on
    Given a node that follows a table of the store
    And rows "a b" that it has read
    And a copy of the store
    And rows "c d" that it has read
    And it waits for changes
    When the store is restored from the copy while the call waits on
    And another call is answered
    Then within 0.5 s it has applied the rows of the copy

  Scenario: A node that follows the store only later reads all rows, too
    Given a node that has read a table of the store once
    And a copy of the store
    And rows "c d" that it has not read
    When the store is restored from the copy
    And rows "e f g" are written
    And it becomes a reader
    Then within 1 s it has applied the rows "e f g" of the new era

  Scenario: A restored store without later writes is read once more
    Given a node that follows a table of the store
    And rows "a b" that it has read
    And a copy of the store
    And rows "c d" that it has read
    When the store is restored from the copy
    And it watches the restored store for 5 s
    Then it has read the whole table 2 times

  Scenario: An answer of before the restore that arrives late is not applied
    Given a client of the store
    When a read that was answered in era 1 arrives after one of era 2
    Then the late read fails as unavailable
    When a write that was answered in era 1 arrives after an answer of era 2
    Then the outcome of the late write is unknown

  # Guards against a precondition on a version that was given out again.
  Scenario: A write that meets a restored store has an unknown outcome
    Given a client of the store
    When it has seen era 1 and a write is answered in era 2
    Then the outcome of the write is unknown

  Scenario Outline: A bad era is counted and harmless
    Given a client of the store
    When it has seen era 5 and an answer has the header lines "<lines>"
    Then the answer is used, and the era is 5
    And <count> bad era is counted

    Examples:
      | lines                | count |
      | 5                    | 0     |
      |                      | 1     |
      | 5,5                  | 1     |
      | 6,7                  | 1     |
      | x                    | 1     |
      | -6                   | 1     |
      | 6.0                  | 1     |
      | ٦                    | 1     |
      | 1000000000000000000  | 1     |
      | 4                    | 1     |
      | 0                    | 1     |

  Scenario: A store that names no era works as before
    Given a client of the store
    When it has seen no era and an answer has the header lines ""
    Then the answer is used, and the era is 0
    And 0 bad era is counted

  # Guards against nodes whose rows are lost with the store's last seconds and
  # are written again by nobody.
  Scenario: Rows of live nodes that the copy lacks are written again
    Given nodes "n1 n2 n3 n4" of a data centre of which "n1" follows the store
    And a copy of the store without the rows of "n2 n3"
    When the store is restored from the copy
    Then within 2 s the table has the rows of "n1 n2 n3 n4"

  Scenario: The reader's own row is written again
    Given nodes "n1 n2" of a data centre of which "n1" follows the store
    And a copy of the store without the rows of "n1"
    When the store is restored from the copy
    Then within 2 s the table has the rows of "n1 n2"

  Scenario: A row that was removed and comes back is removed again
    Given nodes "n1 n2 n3" of a data centre of which "n1" follows the store
    And a copy of the store
    When the row of "n3" is removed
    And the store is restored from the copy
    Then within 2 s the table has the rows of "n1 n2"
    And "n1" does not know "n3"

  Scenario: A row that another node has written meanwhile stays as it is
    Given nodes "n1 n2 n3" of a data centre of which "n1" follows the store
    And a copy of the store without the rows of "n2 n3"
    When the store is restored from the copy
    And another process writes the row of "n2" before the reader does
    Then within 2 s the table has the rows of "n1 n2 n3"
    And the row of "n2" is that of the other process

  Scenario: Rows are written again by a store that refuses at first
    Given nodes "n1 n2 n3" of a data centre of which "n1" follows the store
    And a copy of the store without the rows of "n2 n3"
    When the store is restored from the copy and refuses 2 writes
    Then within 2 s the table has the rows of "n1 n2 n3"

  # Guards against the removal of a row of another process whose version was
  # given out again.
  Scenario: A node that leaves does not remove the row of its successor
    Given nodes "n1 n2" of a data centre of which "n1" follows the store
    And a copy of the store without the rows of "n1"
    When the store is restored from the copy
    And a successor of "n1" writes its row with the version of the old row
    And "n1" withdraws at once
    Then the row of "n1" is that of the other process

  Scenario Outline: The calls after a restore don't grow with the fleet
    Given <count> nodes in 3 data centres that have started
    And a copy of the store
    When the store is restored from the copy and 3 s pass
    Then at most 24 calls were made in these 3 s

    Examples:
      | count |
      | 30    |
      | 195   |
