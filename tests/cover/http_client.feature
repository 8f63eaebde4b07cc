Feature: Answers of a target on a persistent connection

  Scenario Outline: Only the complete answer to the request itself is accepted
    Given a request "r1" on a connection to a target
    When the target sends <bytes>
    Then the request gets <outcome>
    And the connection to the target is <after>

    Examples:
      | bytes                                                             | outcome  | after  |
      | id r1, length 2, hi                                               | hi       | kept   |
      | id r0, length 3, old and id r1, length 2, hi                      | hi       | kept   |
      | id r1, length 2, hi and id r1, length 3, two                      | hi       | closed |
      | id r1, length 2, hi and garbage                                   | hi       | closed |
      | id r1, length 9, hi then ends                                     | a loss   | closed |
      | id r1, no length, hi then ends                                    | hi       | closed |
      | id r1, no length, hi then is reset                                | a loss   | closed |
      | id r1, chunks, hi                                                 | hi       | kept   |
      | id r1, cut chunks, hi then ends                                   | a loss   | closed |
      | garbage                                                           | a loss   | closed |
      | nothing then ends                                                 | a loss   | closed |
      | id r0, length 3, old then ends                                    | a loss   | closed |

  # Guards against an interim answer that is passed on as the final one, and
  # against a head that ends early and looks like an answer without a body.
  Scenario Outline: An answer that ends within its head is a loss
    Then an answer with <framing> that ends <how> after any byte of its head is a loss
    And the same holds behind <interim>

    Examples:
      | framing  | how                | interim         |
      | length 2 | at once            | 100 Continue    |
      | chunks   | at once            | 100 Continue    |
      | nothing  | at once            | 103 Early Hints |
      | length 2 | sent byte by byte  | 103 Early Hints |
      | nothing  | sent byte by byte  | 100 Continue    |

  Scenario: Unsolicited bytes close the connection
    Given an idle connection to a target
    When the target sends id r0, length 2, hi
    Then the connection to the target is closed

  Scenario Outline: Bytes that form no complete answer are read up to a limit
    Given a request "r1" on a connection to a target
    When a broken target sends <bytes> without end
    Then the request gets a loss
    And the connection to the target is closed
    And at most <most> MB of it were read

    Examples:
      | bytes                            | most |
      | one header line                  | 0.2  |
      | header lines                     | 0.2  |
      | interim answers                  | 0.2  |
      | empty lines                      | 0.2  |
      | answers to another request       | 17   |
      | a body without a length          | 17   |
      | a body with a length of 10^15    | 17   |
      | chunks                           | 17   |
      | a chunk extension                | 0.2  |
      | trailers                         | 0.2  |

  Scenario: The next request may be sent as soon as a large answer is complete
    Given a request "r1" on a connection to a target
    And a request "r2" that is sent when the answer has come
    When a target sends a large answer to "r1" and then one to "r2"
    Then both requests get their answers

  Scenario: An answer of many small chunks is accepted
    Given a request "r1" on a connection to a target
    When a target sends 200000 chunks of one byte in small packets
    Then the request gets its 200000 bytes
    And the connection to the target is kept

  # Guards against valid answers of small chunks that take seconds.
  Scenario: A valid answer of small chunks takes few turns
    Given a request "r1" on a connection to a target
    When a target sends 1000000 bytes in chunks of 64 bytes
    Then the request gets its 1000000 bytes
    And its connection took at most 60 turns

  # Guards against a connection that is not read any more after an answer for
  # which it waited for turns.
  Scenario: The next request is answered after an answer of small chunks
    Given a request "r1" on a connection to a target
    And a request "r2" that is sent when the answer has come
    When a target sends 50000 chunks of one byte and then an answer to "r2"
    Then the two answers have 50000 and 2 bytes

  # Guards against headers, or trailers behind a large body, that are kept as
  # objects of the process without a limit of their own.
  Scenario Outline: Headers and trailers are read up to a limit, whatever the body
    Given a request "r1" on a connection to a target
    When a broken target sends <size> KB of <part> behind a body of 1 MB
    Then the request gets <outcome>

    Examples:
      | size | part     | outcome         |
      | 63   | trailers | its 1048576 bytes |
      | 65   | trailers | a loss          |

  # Guards against a node that runs out of memory by the answers of one target,
  # and with it loses the requests of all other clients.
  Scenario Outline: An incomplete answer needs little more memory than its body
    Given a request "r1" on a connection to a target
    When a target has sent 200 KB in chunks of <size> bytes
    Then the incomplete answer needs at most 600 KB of memory

    Examples:
      | size |
      | 1    |
      | 2    |
      | 9    |
      | 1024 |

  # Guards against headers and trailers, each an object, that exhaust the memory
  # of a node beside large bodies or on many connections.
  Scenario Outline: Answers of <bytes> without end need bounded memory
    Given <count> requests at a target that sends <bytes> without end
    When their memory has been traced for 1.0 s
    Then at most 50 MB of memory were in use

    Examples:
      | count | bytes         |
      | 9     | trailers      |
      | 200   | short headers |

  # Guards against requests to other targets that wait for seconds while the
  # event loop parses the answers of a broken one.
  Scenario Outline: Answers of <bytes> without end don't hold up the event loop
    Given <count> requests at a target that sends <bytes> without end
    When the requests have been read for 1.0 s
    Then no timer of the event loop waited for more than 0.05 s of work

    Examples:
      | count | bytes                      |
      | 9     | chunks of 1 byte           |
      | 9     | chunks of 2 bytes          |
      | 9     | chunks of 9 bytes          |
      | 9     | chunks of 2 and 1024 bytes |
      | 9     | trailers                   |

  Scenario: Of answers that are read concurrently the largest is abandoned at the memory limit
    Given 5 requests at a target that sends 4 answers of 1 MB and one without end
    Then the 4 answers are complete and the one without end is lost
    And at most 33 MB were buffered
