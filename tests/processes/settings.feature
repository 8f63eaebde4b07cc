Feature: The settings of a node are checked before any socket opens

  Scenario Outline: An invalid value is rejected with its location
    Given settings in which [<section>] "<key>" is "<value>"
    Then the node exits with code 2 and one line on standard error that names "[<section>] <key>", "<value>" and "expected"

    Examples:
      | section    | key           | value           |
      | node       | colour        | blue            |
      | node       | caller        | localhost:7400  |
      | node       | mesh          | 127.0.0.1:70000 |
      | node       | admin         | 127.0.0.1       |
      | node       | id            | two words       |
      | target     | address       | example.org:80  |
      | platform   | poll_period_s | often           |
      | platform   | poll_period_s | -1              |
      | membership | seeds         | 127.0.0.1:1, :: |
      | logs       | level         | loud            |

  Scenario: A missing key is named
    Given settings without [node] "mesh"
    Then the node exits with code 2 and one line on standard error that names "[node] mesh", "got nothing" and "expected"

  Scenario: An unknown section is named
    Given settings in which [mesh] "port" is "1"
    Then the node exits with code 2 and one line on standard error that names "[mesh]", "expected" and "[node]"

  Scenario Outline: A file or address that cannot be opened is reported in one line
    Given settings in which [<section>] "<key>" is "<value>"
    Then the node exits with code 1 and one line on standard error that names "could not start", "<part>" and "--check"

    Examples:
      | section | key     | value             | part      |
      | logs    | file    | /nowhere/node.log | /nowhere/ |
      | node    | control | 192.0.2.1:7402    | 192.0.2.1 |
