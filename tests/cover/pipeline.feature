Feature: Pipelining of HTTP requests

  Paths begin with the kind of request: only "safe" ones may be repeated.

  Scenario: A slow first request does not delay the start of those behind it
    Given a client that sends "/safe/1 /safe/2 /safe/3"
    Then "/safe/1 /safe/2 /safe/3" have been begun
    When "/safe/3" and then "/safe/2" are answered
    Then the client has received nothing
    When "/safe/1" is answered
    Then the client has received "/safe/1 /safe/2 /safe/3"
    And the client's connection is open

  Scenario: A request that is not idempotent waits for all before it
    Given a client that sends "/safe/1 /safe/2 /unsafe/3 /safe/4"
    Then "/safe/1 /safe/2" have been begun
    When "/safe/2" is answered
    Then "/safe/1 /safe/2" have been begun
    When "/safe/1" is answered
    Then "/safe/1 /safe/2 /unsafe/3" have been begun
    When "/unsafe/3" is answered
    Then "/safe/1 /safe/2 /unsafe/3 /safe/4" have been begun

  Scenario: The time of a request counts from its arrival
    Given a client that sends "/unsafe/1 /unsafe/2"
    When 0.2 s pass and then "/unsafe/1" is answered
    Then "/unsafe/2" has been waiting for 0.2 s when it is begun

  Scenario: A refusal is sent in the order of the requests
    Given a client that sends "/safe/1 /full/2 /safe/3"
    When "/safe/3" and then "/safe/1" are answered
    Then the client has received "/safe/1 503 /safe/3"

  Scenario: Thousands of requests that are refused at once
    Given a client that sends 3000 requests "/full/N"
    Then the client has received 3000 answers in the order of its requests

  # Guards against requests that are read whole behind another one and dropped
  # in a planned stop, without an answer.
  Scenario: A stopping server answers each request that it has read
    Given a client that sends "/safe/1 /unsafe/2 /safe/3"
    When the server begins to stop
    And "/safe/1" is answered
    Then the client has received "/safe/1"
    And the client's connection is open
    And "/safe/1 /unsafe/2" have been begun
    When "/unsafe/2" is answered
    And "/safe/3" is answered
    Then the client has received "/safe/1 /unsafe/2 /safe/3"
    And the client's connection is closed

  Scenario: A request behind one that is refused is answered before the close
    Given a server that has begun to stop
    And a client that sends "/full/1 /unsafe/2"
    Then the client has received "503"
    And "/unsafe/2" have been begun
    When "/unsafe/2" is answered
    Then the client has received "503 /unsafe/2"
    And the client's connection is closed

  Scenario: A stopping server answers all begun requests before it closes the connection
    Given a client that sends "/safe/1 /safe/2 /safe/3"
    When the server begins to stop
    And "/safe/2" and then "/safe/3" are answered
    And "/safe/1" is answered
    Then the client has received "/safe/1 /safe/2 /safe/3"
    And the client's connection is closed

  # Guards against a process that ends with answers in its transports.
  Scenario: A server is busy until its last answer has left the transport
    Given a client that sends "/safe/1" and reads nothing
    When the server begins to stop
    And "/safe/1" is answered
    Then the server is busy
    When the client has read everything
    Then the server is not busy

  Scenario: A stopping server begins one request at a time
    Given a server that has begun to stop
    And a client that sends "/safe/1 /safe/2"
    Then "/safe/1" have been begun
    When "/safe/1" is answered
    Then "/safe/1 /safe/2" have been begun
    When "/safe/2" is answered
    Then the client has received "/safe/1 /safe/2"
    And the client's connection is closed

  Scenario: The disconnection of a client cancels all of its begun requests
    Given a client that sends "/safe/1 /safe/2 /unsafe/3"
    When the client disconnects
    Then "/safe/1 /safe/2" have been cancelled
    And "/safe/1 /safe/2" have been begun
    When "/safe/1" is answered
    Then the client has received nothing

  Scenario Outline: Malformed bytes behind two requests affect neither of them
    Given a client that sends "/safe/1 /unsafe/2" and then <bytes>
    When "/safe/1" is answered
    Then "/safe/1 /unsafe/2" have been begun
    When "/unsafe/2" is answered
    Then the client has received "/safe/1 /unsafe/2 <status>"
    And the client's connection is closed

    Examples:
      | bytes               | status |
      | garbage             | 400    |
      | two lengths         | 400    |
      | an oversized header | 431    |

  Scenario: A connection is not read beyond its limit of requests
    Given a client that sends 2000 requests "/safe/N" one packet each
    Then 8 requests have been begun and at most 33 have been read
    And the client's connection is not read
    When all begun requests are answered until none is left
    Then the client has received 2000 answers in the order of its requests
    And the client's connection is read

  Scenario: One packet with many requests is parsed only up to a limit
    Given a client that sends 2000 requests "/safe/N" in one packet
    Then 8 requests have been begun and at most 700 have been read
    When all begun requests are answered until none is left
    Then the client has received 2000 answers in the order of its requests

  Scenario: Buffered large bodies limit what is read from their connection
    Given a client that sends 40 requests "/safe/N" with bodies of 1 MB
    Then at most 6 MB are buffered
    When all begun requests are answered until none is left
    Then the client has received 40 answers in the order of its requests

  Scenario: The buffered bytes of all connections limit what is read from each
    Given 30 clients that each send 5 requests "/unsafe/N" with bodies of 0.9 MB
    Then at most 64 MB are buffered
    When all begun requests are answered until none is left
    Then each client has received 5 answers in the order of its requests
    And nothing is buffered

  Scenario: An unexpected exception closes one connection and is logged
    Given a client that sends "/safe/1 /fault/2"
    And a client that sends "/safe/3"
    Then "/safe/1 /safe/3" have been begun
    And the client's connection is closed
    And one error has been reported
    When "/safe/3" is answered
    Then the last client has received "/safe/3"

  # Guards against a body that is lost, with an answer as if it had been run,
  # since the parser takes the request for the start of another protocol.
  Scenario Outline: A request that offers an upgrade is read whole
    Given <body> are sent with an offer to upgrade, and then "/safe/2"
    Then "/unsafe/1 /safe/2" have been received with bodies of <sizes> bytes
    And the client's connection is open

    Examples:
      | body                       | sizes  |
      | 4000 bytes                 | 4000 0 |
      | 4000 bytes byte by byte    | 4000 0 |
      | 300 bytes in chunks        | 300 0  |
      | 0 bytes                    | 0 0    |

  Scenario: A request for a tunnel is refused
    Given a client asks for a tunnel to "feed:80"
    Then the client has received "400"
    And the client's connection is closed

  Scenario Outline: A request without an end is refused at a limit
    Given a client that sends <bytes> without end
    Then at most 0.2 MB of it have been read
    And the client has received "431"
    And the client's connection is closed

    Examples:
      | bytes             |
      | a header line     |
      | a path            |
      | a chunk extension |
      | trailers          |

  # Guards against clients whose bodies in tiny chunks exhaust the memory of a
  # node, or hold up the event loop for its other clients.
  Scenario: Bodies in tiny chunks are parsed in turns and need little memory
    Given 5 clients that each send a body of 200 KB in chunks of 2
    Then at most 60 KB of each have been parsed
    And each body arrives whole, 200 KB, and uses at most 1000 KB

  Scenario: Answers keep their order over random events
    Then over 4000 sessions of random events answers are in order, requests that are not idempotent run alone, and none behind a closed connection has been begun
