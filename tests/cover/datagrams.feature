Feature: Bytes from the network are validated before a state machine handles them

  Scenario: Every datagram that a machine sends can be decoded
    Then 300 random datagrams are decoded as they were encoded

  Scenario: Bytes that are not a datagram raise only one type of error
    Then 2000 random payloads raise nothing but MessageInvalidError

  Scenario Outline: An invalid datagram is refused
    Then a datagram with <fault> is refused

    Examples:
      | fault                     |
      | a record in state suspect |
      | a claim of state alive    |
      | an unknown state          |
      | too high an incarnation   |
      | too high a sequence       |
      | a name with blanks        |
      | an empty sender           |
      | too long a name           |
      | a short address           |
      | port 0                    |
      | a short digest            |
      | three bucket digests      |
      | no body                   |
      | too many updates          |
      | too many bytes            |
