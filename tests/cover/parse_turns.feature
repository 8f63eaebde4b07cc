Feature: Turns in which costly bytes are parsed

  # Guards against answers of ordinary chunks that are delayed, and against
  # answers of tiny ones that are not.
  Scenario Outline: A message is costly by its framing in proportion to its body
    Then a message with <framing> bytes of framing and <body> of body <is> costly

    Examples:
      | framing | body    | is     |
      | 16384   | 0       | is not |
      | 16385   | 0       | is     |
      | 32768   | 1048576 | is not |
      | 32769   | 1048576 | is     |

  # Guards against turns that are so short that valid messages of small chunks
  # take many, and against ones that hold up the event loop.
  Scenario Outline: A turn ends by the framing parsed in it
    Then a turn from <before> to <framing> bytes of framing with <body> of body <is> over

    Examples:
      | before | framing | body    | is     |
      | 20000  | 23071   | 0       | is not |
      | 20000  | 23072   | 0       | is     |
      | 0      | 16384   | 0       | is not |
      | 0      | 16385   | 0       | is     |
      | 20000  | 30000   | 1048576 | is not |

  # Guards against one connection that keeps the others from being parsed.
  Scenario: Each waiting connection gets a turn before any gets a second
    Given the connections "a, b, c" wait for a turn
    When the connection whose turn it is waits again, 4 times
    Then the turns went to "a, b, c, a"

  Scenario: A closed connection gets no turn
    Given the connections "a, b" wait for a turn
    When the connection "a" is closed
    And the connection whose turn it is waits again, 2 times
    Then the turns went to "b, b"
