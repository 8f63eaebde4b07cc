Feature: A change is published once or not at all, whatever fails

  Scenario Outline: The outcome that an operator is told is true
    Given the requests of the publisher have the outcomes <faults>
    When change "a" is published
    Then the outcome for the publisher is "<first>"
    And the history contains "<held>"
    When change "a" is published again without faults
    Then the outcome for the publisher is "accepted 1"
    And the history contains "a"

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

  Scenario: A publisher recognises its own late write
    Given the requests of the publisher have the outcomes 3 served then late
    When change "a" is published
    Then the outcome for the publisher is "unknown"
    When change "a" is published again and the late write is applied after its first request
    Then the outcome for the publisher is "accepted 1"
    And the history contains "a"

  Scenario: A late write fails after another change has been accepted
    Given the requests of the publisher have the outcomes 3 served then late
    When change "a" is published
    And change "b" is published
    And the late writes are applied
    And change "a" is published
    Then the outcome for the publisher is "conflict b 1"
    And the history contains "b"

  Scenario: A change id is valid for one document
    When change "a" is published
    And change "a" from base 0 is published with another document
    Then the outcome for the publisher is "change id used"
    And the history contains "a"

  Scenario: A repeated change is recognised with another base
    When change "a" from base 0 is published with no fault
    And change "a" from base 1 is published with no fault
    Then the outcome for the publisher is "accepted 1"

  Scenario: An edit can be repeated with its change id
    When an edit "a" adds exception "x"
    And an edit "b" adds exception "y"
    And an edit "a" adds exception "x"
    Then the outcome for the publisher is "accepted 2"
    When an edit "a" adds exception "z"
    Then the outcome for the publisher is "change id used"
    And the history contains "a b"

  Scenario Outline: An invalid publish is refused before any write
    When change "<change>" from base <base> is published with <document>
    Then the outcome for the publisher is "<outcome>"
    And the platform has received 0 writes

    Examples:
      | change | base | document                  | outcome          |
      | a      | 0    | a fault                   | invalid config   |
      | a      | 0    | a number beyond 64 bits   | invalid config   |
      | a      | 0    | an ended exception        | invalid config   |
      | a      | 7    | no fault                  | invalid argument |
      | a/b?c  | 0    | no fault                  | invalid argument |

  Scenario: An exception of an earlier version that has ended does not block changes
    Given change "a" was published with an exception that has ended since
    When change "b" from base 1 is published with an ended exception
    Then the outcome for the publisher is "accepted 2"

  Scenario Outline: Damaged rows and objects are reported as damaged
    When change "a" is published
    And the <what> is damaged
    Then reading the newest document fails with "<text>"

    Examples:
      | what   | text             |
      | head   | config-head/head |
      | object | version 1        |

  Scenario: Ten operators publish concurrently from the same version
    When 10 operators publish from version 0 at the same time
    Then 1 change is accepted and 9 conflicts name it

  Scenario: The newest changes of a long history need two reads
    Given a history of 2500 changes
    Then the newest 20 changes are read with 2 reads

  Scenario: A whole history is read in pages
    Given a history of 2500 changes
    Then the newest 2500 changes are read with 4 reads

  Scenario: Concurrent publishers under random faults
    Then the history and the outcomes agree in 250 random sessions

  @golden
  Scenario: A trace of a publish, a race and an outage
    Then the trace of publishing matches its golden file
