Feature: A change is published once or not at all, whatever fails

  Scenario Outline: The outcome that an operator is told is true
    Given the platform meets the publisher's requests with <faults>
    When change "a" is published
    Then the publisher is told "<first>"
    And the history holds "<held>"
    When change "a" is published again without faults
    Then the publisher is told "accepted 1"
    And the history holds "a"

    Examples:
      | faults                                      | first       | held |
      | 0 served                                    | accepted 1  | a    |
      | 0 served then refused                       | unavailable |      |
      | 1 served then refused                       | unavailable |      |
      | 2 served then refused                       | unavailable |      |
      | 3 served then refused                       | unavailable |      |
      | 2 served then lost reply                    | unavailable |      |
      | 2 served then dropped                       | unavailable |      |
      | 3 served then lost reply                    | accepted 1  | a    |
      | 3 served then lost reply then refused       | unknown     | a    |
      | 3 served then dropped                       | unknown     |      |
      | 3 served then dropped then refused          | unknown     |      |
      | 3 served then crash                         | crash       |      |
      | 3 served then lost reply then crash         | crash       | a    |

  Scenario: A write that arrives late is not taken for somebody else's
    Given the platform meets the publisher's requests with 3 served then late
    When change "a" is published
    Then the publisher is told "unknown"
    When change "a" is published again and the late write arrives after its first request
    Then the publisher is told "accepted 1"
    And the history holds "a"

  Scenario: A late write loses against a change that was accepted meanwhile
    Given the platform meets the publisher's requests with 3 served then late
    When change "a" is published
    And change "b" is published
    And the late writes arrive
    And change "a" is published
    Then the publisher is told "conflict b 1"
    And the history holds "b"

  Scenario: A change id is good for one document
    When change "a" is published
    And change "a" from base 0 is published with another document
    Then the publisher is told "change id used"
    And the history holds "a"

  Scenario: A change is known again from another base
    When change "a" from base 0 is published with no fault
    And change "a" from base 1 is published with no fault
    Then the publisher is told "accepted 1"

  Scenario: An edit is repeated under its change id
    When an edit "a" adds exception "x"
    And an edit "b" adds exception "y"
    And an edit "a" adds exception "x"
    Then the publisher is told "accepted 2"
    When an edit "a" adds exception "z"
    Then the publisher is told "change id used"
    And the history holds "a b"

  Scenario Outline: What can't be published is refused before any write
    When change "<change>" from base <base> is published with <document>
    Then the publisher is told "<told>"
    And the platform saw 0 writes

    Examples:
      | change | base | document                  | told             |
      | a      | 0    | a fault                   | invalid config   |
      | a      | 0    | a number beyond 64 bits   | invalid config   |
      | a      | 0    | an ended exception        | invalid config   |
      | a      | 7    | no fault                  | invalid argument |
      | a/b?c  | 0    | no fault                  | invalid argument |

  Scenario: An exception that ended while in force doesn't keep others out
    Given change "a" was published with an exception that has ended since
    When change "b" from base 1 is published with an ended exception
    Then the publisher is told "accepted 2"

  Scenario Outline: Damaged rows and objects are told as such
    When change "a" is published
    And the <what> is damaged
    Then reading the newest document says "<text>"

    Examples:
      | what   | text             |
      | head   | config-head/head |
      | object | version 1        |

  Scenario: Ten operators race from the same version
    When 10 operators publish from version 0 at the same time
    Then 1 change is accepted and 9 conflicts name it

  Scenario: The newest changes of a long history take two reads
    Given a history of 2500 changes
    Then the newest 20 changes are read with 2 reads

  Scenario: A whole history is read in pages
    Given a history of 2500 changes
    Then the newest 2500 changes are read with 4 reads

  Scenario: Publishers that cross each other under random faults
    Then 250 random sessions keep the history and the answers true

  @golden
  Scenario: A publish, a race and an outage
    Then the session of publishing matches its golden file
