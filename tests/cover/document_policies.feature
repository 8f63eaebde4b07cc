Feature: Policies combine defaults, services, routes and exceptions

  Scenario Outline: The most specific value applies
    Given a document in which "defaults.deadline_ms" is 9000
    And a document in which "exceptions" is {}
    And a document in which "services.desk.deadline_ms" is <service>
    And a document in which "routes.desk-read.deadline_ms" is <route>
    And an exception "a" of "deadline_ms" for <a>
    And an exception "b" of "deadline_ms" for <b>
    When the policies of "bergen" are built for 2027-03-01
    Then route "desk-read" has "deadline_ms" <value>

    Examples:
      | service | route | a                              | b                          | value |
      | null    | null  | nothing                        | nothing                    | 9000  |
      | 8000    | null  | nothing                        | nothing                    | 8000  |
      | 8000    | 7000  | nothing                        | nothing                    | 7000  |
      | 8000    | 7000  | desk value 6000                | nothing                    | 6000  |
      | 8000    | 7000  | desk/desk-read value 5000      | desk value 6000            | 5000  |
      | 8000    | 7000  | desk value 6000                | desk/desk-read value 5000  | 5000  |
      | null    | null  | desk in bergen value 4000      | desk value 6000            | 4000  |
      | null    | null  | desk in voss value 4000        | desk value 6000            | 6000  |
      | null    | null  | desk/desk-publish value 4000   | nothing                    | 9000  |
      | null    | null  | desk until 2027-02-28 value 1  | nothing                    | 9000  |
      | null    | null  | desk until 2027-03-01 value 1  | nothing                    | 1     |

  Scenario: An exception ends on its date without a new version
    Given a document in which "exceptions" is {}
    And an exception "a" of "deadline_ms" for desk until 2027-03-02 value 1
    And an exception "b" of "slots" for desk until 2027-03-05 value 4
    And an exception "c" of "slots" for feed in voss until 2027-03-03 value 4
    When the policies of "bergen" are built for 2027-03-01
    Then route "desk-read" has "deadline_ms" 1
    And a target of "desk" has 4 slots
    And the next change of the policies is on 2027-03-03
    When the date changes to 2027-03-02
    Then route "desk-read" has "deadline_ms" 1
    When the date changes to 2027-03-03
    Then route "desk-read" has "deadline_ms" 10000
    And the next change of the policies is on 2027-03-06
    When the date changes to 2027-03-06
    Then a target of "desk" has 10 slots
    And the policies have no further change

  Scenario: A clock that is set back does not reactivate an ended exception
    Given a document in which "exceptions" is {}
    And an exception "a" of "deadline_ms" for desk until 2027-03-02 value 1
    When the policies of "bergen" are built for 2027-03-01
    And the date changes to 2027-03-03
    And the date changes to 2027-03-01
    Then route "desk-read" has "deadline_ms" 10000

  Scenario: An ended exception is not a fault at a node
    Given a document in which "exceptions.e1.ends" is "2020-01-01"
    When the document is decoded and checked
    Then there are no faults

  Scenario: A queue limit applies to the whole service
    Given a document in which "services.desk.queue_limit" is 7
    And an exception "a" of "queue_limit" for feed value 3
    When the policies of "bergen" are built for 2027-03-01
    Then a target of "desk" has a queue of 7
    And a target of "feed" has a queue of 3
