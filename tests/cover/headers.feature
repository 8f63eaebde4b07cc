Feature: Headers of one connection stay on it

  Scenario Outline: A Connection header names others, wherever it stands
    When a client's request has the headers "<headers>"
    Then the headers "<forwarded>" are passed on

    Examples:
      | headers                                     | forwarded |
      | Connection: X-Hop, X-Hop: 1, Accept: a      | Accept: a |
      | X-Hop: 1, Accept: a, Connection: X-Hop      | Accept: a |
      | X-Hop: 1, Connection: close, Accept: a      | X-Hop: 1, Accept: a |
      | Keep-Alive: timeout=5, TE: gzip, Accept: a  | Accept: a |
