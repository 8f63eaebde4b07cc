Feature: An invalid document is refused with the place of each fault

  Scenario Outline: One broken rule is told with its place
    Given a document in which "<place>" is <value>
    When the document is decoded and checked
    Then one fault is at "<at>" and contains "<text>"

    Examples: Reasons, references and settings
      | place                     | value        | at                        | text                  |
      | exceptions.e1.reason      | " "          | exceptions.e1.reason      | got ' '               |
      | exceptions.e1.reason      | "a\nb"       | exceptions.e1.reason      | one line              |
      | exceptions.e1.owner       | ""           | exceptions.e1.owner       | got ''                |
      | exceptions.e1.service     | "nowhere"    | exceptions.e1.service     | got 'nowhere'         |
      | exceptions.e1.route       | "nowhere"    | exceptions.e1.route       | got 'nowhere'         |
      | exceptions.e1.route       | "feed-pull"  | exceptions.e1.route       | a route of 'desk'     |
      | exceptions.e1.setting     | "colour"     | exceptions.e1.setting     | got 'colour'          |
      | exceptions.e1.value       | true         | exceptions.e1.value       | got True              |
      | exceptions.e1.value       | "soon"       | exceptions.e1.value       | got 'soon'            |
      | exceptions.e1.value       | 0            | exceptions.e1.value       | got 0                 |
      | exceptions.e1.ends        | "20270131"   | exceptions.e1.ends        | got '20270131'        |
      | exceptions.e1.data_centre | "b b"        | exceptions.e1.data_centre | got 'b b'             |
      | services.desk.limit_class | "none"       | services.desk.limit_class | got 'none'            |
      | routes.desk-read.service  | "nowhere"    | routes.desk-read.service  | got 'nowhere'         |

    Examples: Routes
      | place                         | value         | at                            | text              |
      | routes.desk-read.http_method  | "get"         | routes.desk-read.http_method  | got 'get'         |
      | routes.desk-read.path_prefix  | "packages"    | routes.desk-read.path_prefix  | got 'packages'    |
      | routes.desk-read.path_prefix  | "/a?b"        | routes.desk-read.path_prefix  | got '/a?b'        |
      | routes.feed-rights.path_prefix | "/packages"  | routes.feed-rights            | route 'feed-pull' |
      | routes.desk-read.deadline_ms  | 600001        | routes.desk-read.deadline_ms  | got 600001        |
      | routes.desk-read.max_attempts | 11            | routes.desk-read.max_attempts | got 11            |
      | services.desk.queue_limit     | -1            | services.desk.queue_limit     | got -1            |

    Examples: Fixed capacity
      | place                             | value                                                   | at                               | text                |
      | limit_classes.small.slots         | 11                                                      | limit_classes.small.slots        | from 2 to 10        |
      | limit_classes.small.slots         | 1                                                       | limit_classes.small.slots        | from 2 to 10        |
      | limit_classes.small.connections   | 111                                                     | limit_classes.small.connections  | from 10 to 110      |
      | capacity                          | {}                                                      | capacity.small                   | what was bought     |
      | capacity.other                    | {"slots_floor":1,"slots_ceiling":2,"connections_ceiling":2} | capacity.other              | a limit class       |
      | capacity.small.slots_floor        | 0                                                       | capacity.small.slots_floor       | got 0               |
      | exceptions.e2                     | {"service":"desk","setting":"slots","value":11,"reason":"r","owner":"o"} | exceptions.e2.value | from 2 to 10 |
      | exceptions.e2                     | {"service":"desk","setting":"slots","value":1,"reason":"r","owner":"o"}  | exceptions.e2.value | from 2 to 10 |
      | exceptions.e2                     | {"service":"desk","setting":"connections","value":9,"reason":"r","owner":"o"} | exceptions.e2.value | from 10 to 110 |
      | exceptions.e2                     | {"service":"desk","route":"desk-read","setting":"slots","value":5,"reason":"r","owner":"o"} | exceptions.e2.route | the whole service |
      | exceptions.e2                     | {"service":"desk","setting":"deadline_ms","value":5,"reason":"r","owner":"o"} | exceptions.e2 | exception 'e1' |

    Examples: Shapes and numbers
      | place                        | value                  | at                           | text                   |
      | defaults.deadline_ms         | true                   | defaults.deadline_ms         | got True               |
      | defaults.deadline_ms         | 1.5                    | defaults.deadline_ms         | got 1.5                |
      | defaults.deadline_ms         | null                   | defaults.deadline_ms         | got None               |
      | defaults.deadline_ms         | 99999999999999999999999 | defaults.deadline_ms        | got 1e+23              |
      | defaults.retry_ratio         | "0.1"                  | defaults.retry_ratio         | got '0.1'              |
      | defaults.retry_ratio         | 1.5                    | defaults.retry_ratio         | got 1.5                |
      | defaults.spill               | 1                      | defaults.spill               | got 1                  |
      | defaults.call_class          | "slow"                 | defaults.call_class          | got 'slow'             |
      | defaults.colour              | "blue"                 | defaults.colour              | unknown                |
      | routes.desk-read.service     | ABSENT                 | routes.desk-read.service     | got nothing            |
      | routes                       | []                     | routes                       | got []                 |
      | routes.desk-read             | 7                      | routes.desk-read             | got 7                  |
      | exceptions.e1.value          | [1]                    | exceptions.e1.value          | got [1]                |
      | services.-b@d                | {"limit_class":"small"} | services.-b@d               | got '-b@d'             |

  Scenario: The slots of a target are bounded by its connections
    Given a document in which "limit_classes.small" is {"slots":5,"connections":6}
    And a document in which "exceptions.e2" is {"service":"desk","setting":"slots","value":8,"reason":"r","owner":"o"}
    When the document is decoded and checked
    Then one fault is at "exceptions.e2.value" and contains "from 2 to 6"

  Scenario: All faults are reported at once
    Given a document in which "exceptions.e1.reason" is ""
    And a document in which "exceptions.e1.setting" is "colour"
    And a document in which "routes.desk-read.service" is "nowhere"
    And a document in which "defaults.max_attempts" is 0
    When the document is decoded and checked
    Then there are faults at these places
      | place                    |
      | defaults.max_attempts    |
      | exceptions.e1.reason     |
      | exceptions.e1.setting    |
      | routes.desk-read.service |

  Scenario Outline: A payload that is not a document gives a fault and no other error
    Given the payload <payload>
    When the document is decoded and checked
    Then one fault is at "<at>" and contains "<text>"

    Examples:
      | payload                                | at       | text             |
      | nothing                                | document | not JSON         |
      | 100000 times [                         | document | not JSON         |
      | 900 times [                            | document | expected         |
      | {"defaults":{"retry_ratio":NaN}}       | document | not JSON         |
      | {"defaults":{"retry_ratio":1e999}}     | document | not JSON         |
      | {"routes":{},"routes":{}}              | routes   | twice            |
      | {"routes":{"a":{"x":1,"x":2}}}         | routes.a.x | twice          |
      | {"services":{"\ud800":{"limit_class":"x"}}} | document | not JSON    |
      | 9000000 times x                        | document | expected at most |
      | invalid UTF-8                          | document | not JSON         |

  Scenario Outline: The number of <what> is bounded
    Given a document with <count> <what>
    When the document is decoded and checked
    Then one fault is at "<what>" and contains "expected at most"

    Examples:
      | what       | count |
      | exceptions | 201   |
      | services   | 2001  |
      | routes     | 5001  |

  Scenario: Any payload gives a document or a fault
    Then 400 random payloads give a document or a fault

  Scenario: A decoded document is encoded to the same canonical bytes
    Then 300 random documents are encoded to the same bytes after decoding
