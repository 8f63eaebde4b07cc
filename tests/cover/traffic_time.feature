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

  # Guards against a request that is taken late in a planned stop and ended at
  # its target.
  Scenario Outline: A request begins late in a stop only if it can end before the process
    Given a process that answers requests for another <left> s
    Then a request with <deadline> s to its deadline, <wait> s of wait and <service> s of service <begins>

    Examples: The deadline comes before the end of the process
      | left | deadline | wait | service | begins         |
      | 2    | 1.9      | 0    | 1       | begins         |
      | 2    | 1.9      | 0    | unknown | begins         |

    Examples: The end of the process limits the request
      | left | deadline | wait | service | begins         |
      | 2    | 2        | 0    | 0.5     | begins         |
      | 2    | 2        | 0.1  | 0.5     | doesn't begin  |
      | 2    | 2        | 0    | 0.6     | doesn't begin  |
      | 2    | 2        | 0    | unknown | doesn't begin  |
      | 2    | 5        | 0    | 0.4     | begins         |
      | 2    | 5        | 0    | 0.6     | doesn't begin  |
