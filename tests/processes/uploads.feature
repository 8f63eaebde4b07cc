@alone
Feature: Large bodies of requests on their way to a target

  Background:
    Given VMs of two data centres
      | vm | data centre | service |
      | a1 | bergen      | desk    |
      | a2 | bergen      | desk    |
      | a3 | bergen      | feed    |
      | b1 | voss        | feed    |
    And an upload route of "desk"

  Scenario: Bodies from several nodes reach their targets complete, beside small requests
    When clients on "a3 b1 a1" upload 9 bodies of 400000 bytes to "ok" while small requests are sent
    Then each upload got 200 and was executed once with its complete body
    And every small request got 200

  Scenario Outline: A target that answers before it has read the body, or closes
    When a client on "a3" uploads 2000000 bytes to "<mode>"
    Then the upload got <status>
    And no upload was executed twice
    And a client on "a3" uploads 2000000 bytes to "ok" and gets 200

    Examples:
      | mode      | status |
      | too-large | 413    |
      | hang-up   | 502    |

  Scenario: The owners are killed within the body
    When a client on "a3" uploads 4000000 bytes to "ok" and the daemons of "a1 a2" are killed after 0.3 s
    Then the upload got 503
    And no upload was executed

  Scenario: The entry node is killed within the body
    When a client on "a3" uploads 4000000 bytes to "ok" and the daemons of "a3" are killed after 0.3 s
    Then the upload got 0
    And no upload was executed

  Scenario: The client disconnects within the body
    When a client on "a3" disconnects after half of a body
    Then no upload was executed
    And a client on "a3" uploads 400000 bytes to "ok" and gets 200

  Scenario: A body that the link can't send by the deadline is refused at once
    When a client on "a3" uploads 16000000 bytes to "ok"
    Then the upload got 503 within 1.5 s
    And no upload was executed

  Scenario: A planned stop of the entry node completes uploads
    When clients on "a3" upload 4 bodies of 1000000 bytes to "ok" and the daemon of "a3" gets SIGTERM
    Then each upload got 200 and was executed once with its complete body
    And the daemon of "a3" exits with code 0 within 6 s

  Scenario: A planned stop of an owner completes uploads or passes them on
    When clients on "a3" upload 4 bodies of 1000000 bytes to "ok" and the daemon of "a1" gets SIGTERM
    Then each upload got 200 and was executed once with its complete body
    And the daemon of "a1" exits with code 0 within 6 s

  Scenario: The owners freeze within the body
    When a client on "a3" uploads 4000000 bytes to "ok" and the daemons of "a1 a2" are frozen from 0.3 s to 4 s
    Then the upload got 503 within 3 s
    And no upload was executed

  Scenario: A hundred open uploads of 64 MB
    When 100 clients on "a3" begin uploads of 67108864 bytes
    Then 99 of them get 503 with a Retry-After header
    And the daemon of "a3" uses less than 200 MB when a body has arrived
    And the metrics of "a3" count 99 refused bodies
