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
