Feature: Doubts about a valid document

  Scenario: An ordinary document raises no doubt
    Given a document
    Then it raises no doubt

  Scenario Outline: An entry without effect is told with its place
    Given a document in which "<place>" is <value>
    Then it raises one doubt, at "<at>", that contains "<text>"

    Examples:
      | place                           | value                                                                                                                             | at                   | text                |
      | services.idle                   | {"limit_class": "small"}                                                                                                          | services.idle        | no route            |
      | exceptions.e2                   | {"service": "feed", "setting": "deadline_ms", "value": 10000, "reason": "r", "owner": "o", "route": "feed-pull"}                  | exceptions.e2        | 'deadline_ms'       |
      | exceptions.e2                   | {"service": "feed", "setting": "slots", "value": 10, "reason": "r", "owner": "o"}                                                 | exceptions.e2        | 'slots'             |
      | exceptions.e2                   | {"service": "feed", "setting": "spill", "value": true, "reason": "r", "owner": "o", "data_centre": "voss"}                        | exceptions.e2        | 'spill'             |
      | routes.desk-publish.body_limit  | 0                                                                                                                                 | routes.desk-publish.body_limit   | POST    |
      | routes.desk-read.retry_ratio    | 0.0                                                                                                                               | routes.desk-read.retry_ratio     | max_attempts 3  |
      | routes.desk-read.max_attempts   | 1                                                                                                                                 | routes.desk-read.max_attempts    | retry_ratio 0.1 |

  Scenario Outline: An entry with an effect raises no doubt
    Given a document in which "<place>" is <value>
    Then it raises no doubt

    Examples:
      | place                       | value |
      | exceptions.e2               | {"service": "feed", "setting": "spill", "value": false, "reason": "r", "owner": "o", "data_centre": "voss", "ends": "2020-01-01"} |
      | routes.desk-read.body_limit | 0     |

  Scenario: An exception that others replace everywhere has no effect
    Given a document in which "exceptions" is {"wide": {"service": "desk", "setting": "deadline_ms", "value": 700, "reason": "r", "owner": "o"}}
    And an exception of the same setting with another value for each route of "desk"
    Then it raises one doubt, at "exceptions.wide", that contains "an effect"
