Feature: Time allotted to a request

  Scenario Outline: The shortest limit applies
    When a client waits for <client>, the route allows <route> and the process ends in <process>
    Then <time> s are allotted

    Examples:
      | client | route | process | time |
      | 5 s    | 2 s   | -       | 2    |
      | 1 s    | 2 s   | -       | 1    |
      | -      | 2 s   | -       | 2    |
      | -      | -     | -       | 30   |
      | 5.4 s  | -     | 2 s     | 2    |
      | 1 s    | 2 s   | 2 s     | 1    |

  Scenario: A node that stops accepts only requests that it can answer
    Given an entry node whose process ends in 1.1 s
    And a target that takes 0.8 s for each request, with 1 slot
    When requests with 5 s to their deadline arrive at 0 s and 0.05 s
    Then the first one runs
    And the second one is refused
