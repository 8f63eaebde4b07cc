Feature: Hop-by-hop headers are not forwarded

  Scenario Outline: Headers that a Connection header names are dropped, in any order
    When a client's request has the headers "<headers>"
    Then the headers "<forwarded>" are forwarded

    Examples:
      | headers                                     | forwarded |
      | Connection: X-Hop, X-Hop: 1, Accept: a      | Accept: a |
      | X-Hop: 1, Accept: a, Connection: X-Hop      | Accept: a |
      | X-Hop: 1, Connection: close, Accept: a      | X-Hop: 1, Accept: a |
      | Keep-Alive: timeout=5, TE: gzip, Accept: a  | Accept: a |

  Scenario Outline: A limit that can't be read is reported and names no rate
    When a target's answer has the headers "<headers>"
    Then it names <limit> requests per second
    And <unreadable> is reported as unreadable
    And all of its headers are forwarded

    Examples:
      | headers                                | limit | unreadable |
      | Server-Limit: 92                       | 92    | nothing    |
      | server-limit: 10.799999999999999       | 10.8  | nothing    |
      | Server-Limit: 0.5                      | 0.5   | nothing    |
      | Server-Limit: 0                        | 0     | nothing    |
      | Server-Limit: 1e-05                    | 1e-05 | nothing    |
      | Server-Limit: 999999999999             | 1e12  | nothing    |
      | Server-Limit: 1e99                     | 1e99  | nothing    |
      | Server-Limit: 9, Server-Limit: 7       | 7     | nothing    |
      | Server-Limit: 9, Server-Limit: x       | 9     | 'x'        |
      | Server-Limit: 9;Server-Limit: 7        | no    | '9;Server-Limit: 7' |
      | Server-Limit:                          | no    | ''         |
      | Server-Limit: many                     | no    | 'many'     |
      | Server-Limit: -1                       | no    | '-1'       |
      | Server-Limit: nan                      | no    | 'nan'      |
      | Server-Limit: inf                      | no    | 'inf'      |
      | Server-Limit: 1e999                    | no    | '1e999'    |
      | Server-Limit: 1_0                      | no    | '1_0'      |
      | Server-Limit: 0x10                     | no    | '0x10'     |
      | Server-Limit: 1111111111111111111111111111111 | no | '1111111111111111111111111111111' |

  Scenario Outline: A departure that can't be read is reported and has no effect
    When a target's answer has the headers "<headers>"
    Then it <states> that the target leaves
    And <unreadable> is reported as unreadable
    And all of its headers are forwarded

    Examples:
      | headers                                  | states         | unreadable |
      | Server-Leaving: 1                        | states         | nothing    |
      | SERVER-LEAVING: 1                        | states         | nothing    |
      | Server-Leaving: 1, Server-Leaving: 1     | states         | nothing    |
      | Server-Leaving: 0, Server-Leaving: 1     | states         | nothing    |
      | Server-Leaving: x, Server-Leaving: 1     | states         | 'x'        |
      | Server-Leaving: 0                        | does not state | nothing    |
      | Server-Leaving:                          | does not state | ''         |
      | Server-Leaving: true                     | does not state | 'true'     |
      | Server-Leaving: 11                       | does not state | '11'       |
      | X-Other: 1                               | does not state | nothing    |

  Scenario Outline: The delay that a target asks for is read, or ignored if unreadable
    When a target's answer has the headers "Retry-After: <value>"
    Then it asks for a retry after <seconds> s

    Examples:
      | value                         | seconds |
      | 3                             | 3       |
      | 0.25                          | 0.25    |
      | 1e30                          | 3600    |
      | 0                             | 0       |
      | Wed; 21 Oct 2026 07:28:00 GMT | no      |
      | -1                            | no      |
      | nan                           | no      |
      | inf                           | no      |
      | soon                          | no      |

  # Guards against a deadline that is no time, such as inf, and reaches timers
  # and targets.
  Scenario Outline: A deadline that can't be read is reported
    When a client's request has the headers "X-Deadline-Ms: <value>"
    Then its deadline is <seconds> s

    Examples:
      | value | seconds    |
      | 2000  | 2          |
      | 0.5   | 0.0005     |
      | 0     | 0          |
      | 1e30  | 3600       |
      | inf   | unreadable |
      | nan   | unreadable |
      | -1    | unreadable |
      | soon  | unreadable |
      | 1_000 | unreadable |
