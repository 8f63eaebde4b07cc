Feature: Large bodies of requests on narrow links

  Scenario: Small messages pass between the bodies that many nodes send to one owner
    Given an owner that grants bodies on a link of 625000 bytes a second
    When 12 nodes send it bodies of "60000 360000 120000" bytes at the same time, and small messages arrive every 0.02 s
    Then no small message waits for more than 0.06 s
    And all bodies have arrived within 4.1 s

  Scenario: Without grants the bodies of a few nodes delay small messages for seconds
    Given an owner that grants bodies on a link of 625000 bytes a second
    When 12 nodes send it bodies of "60000 360000 120000" bytes without grants, and small messages arrive every 0.02 s
    Then some small message waits for more than 2 s

  Scenario: The shortest body arrives first
    Given an owner that grants bodies on a link of 625000 bytes a second
    When nodes send it bodies of "300000 200000 40000 90000" bytes at the same time
    Then they arrive in the order "40000 90000 200000 300000"

  Scenario: A fast link is not slowed down by the round trips of grants
    Given an owner that grants bodies on a link of 12500000 bytes a second
    When nodes send it bodies of "4000000" bytes at the same time
    Then all bodies have arrived within 0.4 s

  Scenario: A body that can't arrive in time is refused at once
    Given an owner that grants bodies on a link of 625000 bytes a second
    When bodies of "1000000" bytes are admitted
    Then a body of 2000000 bytes that has 3 s is refused with at least 2 s to wait
    And a body of 100000 bytes that has 1 s is not refused

  Scenario: A sender that stops gives way to others
    Given an owner that grants bodies on a link of 625000 bytes a second
    When bodies of "100000 100000 200000" bytes are admitted
    Then bodies "0 1" are granted
    When 0.7 s later a body of 300000 bytes is admitted
    Then bodies "2 3" are granted

  Scenario: A sender that has disconnected gives way at once
    Given an owner that grants bodies on a link of 625000 bytes a second
    When bodies of "100000 100000 200000" bytes are admitted
    And body "0" is dropped
    Then bodies "2" are granted

  Scenario: More than was granted is an error of the sender
    Given an owner that grants bodies on a link of 625000 bytes a second
    When bodies of "100000" bytes are admitted
    Then a part of 20000 bytes of body "0" is rejected

  Scenario: A body has not run until its last byte was taken
    Given a body of 50000 bytes to send, of which 30000 are granted
    When pieces of 16000 bytes are taken until there is none
    Then 30000 bytes were taken, and it can't have run
    When the rest is granted and taken
    Then it may have run

  Scenario: The memory for bodies is bounded, and freed
    Given room for 100000 bytes of bodies
    Then bodies of "60000 50000 40000" bytes get room "yes no yes"
    When the body of 60000 bytes ends
    Then bodies of "60000" bytes get room "yes"

  Scenario Outline: Uploads go to the owner whose link has room
    Given owners of an upload: <owners>
    When an upload that the own link sends in <send> s is useful for 1 s
    Then it goes to "<chosen>"

    Examples:
      | owners                                                        | send | chosen |
      | near a with a link wait of 0.8 s, near b with one of 0 s      | 0.2  | b      |
      | own a with a link wait of 0.8 s, near b with one of 0 s       | 2    | a      |
      | near a with a link wait of 3 s, far b with one of 0 s         | 0.2  | a      |
