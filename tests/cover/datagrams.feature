Feature: Bytes from the network are checked before a machine sees them

  Scenario: Whatever a machine sends can be read again
    Then 300 random datagrams read as they were written

  Scenario: Bytes that are no datagram raise one error only
    Then 2000 random payloads raise nothing but MessageInvalidError

  Scenario Outline: A datagram that no member sends is refused
    Then a datagram with <fault> is refused

    Examples:
      | fault                   |
      | a record held suspect   |
      | a claim of life         |
      | an unknown state        |
      | too high an incarnation |
      | too high a sequence     |
      | a name with blanks      |
      | an empty sender         |
      | too long a name         |
      | a short address         |
      | port 0                  |
      | a short digest          |
      | three bucket digests    |
      | no body                 |
      | too many updates        |
      | too many bytes          |
