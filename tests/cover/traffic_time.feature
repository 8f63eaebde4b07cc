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
    Then a <kind> request with <deadline> s to its deadline, <wait> s of wait and <service> s of service, nearly always within <longest> s, <begins>

    Examples: The deadline comes before the end of the process
      | kind   | left | deadline | wait | service | longest | begins         |
      | unsafe | 2    | 1.9      | 0    | 1       | 0       | begins         |
      | unsafe | 2    | 1.9      | 0    | unknown | 0       | begins         |

    Examples: The end of the process limits the request
      | kind   | left | deadline | wait | service | longest | begins         |
      | unsafe | 2    | 2        | 0    | 0.5     | 0       | begins         |
      | unsafe | 2    | 2        | 0.1  | 0.5     | 0       | doesn't begin  |
      | unsafe | 2    | 2        | 0    | 0.6     | 0       | doesn't begin  |
      | unsafe | 2    | 2        | 0    | unknown | 0       | doesn't begin  |
      | unsafe | 2    | 5        | 0    | 0.4     | 0       | begins         |
      | unsafe | 2    | 5        | 0    | 0.6     | 0       | doesn't begin  |

    Examples: A few requests of its kind take many times the mean
      | kind   | left | deadline | wait | service | longest | begins         |
      | unsafe | 2    | 2        | 0    | 0.2     | 1.9     | begins         |
      | unsafe | 2    | 2        | 0.3  | 0.2     | 1.9     | begins         |
      | unsafe | 2    | 2        | 0    | 0.2     | 2.1     | doesn't begin  |
      | unsafe | 2    | 1.9      | 0    | 0.2     | 2.1     | begins         |
      | unsafe | 2    | 2        | 0    | 0.2     | unknown | doesn't begin  |
      | unsafe | 2    | 1.9      | 0    | 0.2     | unknown | begins         |
      | safe   | 2    | 2        | 0    | 0.2     | unknown | begins         |
      | safe   | 2    | 2        | 0    | 0.6     | unknown | doesn't begin  |
      | safe   | 2    | 2        | 0    | 0.2     | 2.1     | doesn't begin  |

  # Guards against a request that is judged by a mean which hides the long ones.
  Scenario Outline: The time of nearly all requests of a kind
    Given <short> requests that took 0.02 s and <long> that took 2 s
    Then nearly all of them took at most <time> s, to a quarter above

    Examples:
      | short | long  | time |
      | 20    | 0     | 0.02 |
      | 99    | 1     | 0.02 |
      | 49    | 1     | 2    |
      | 80    | 20    | 2    |
      | 80000 | 20000 | 2    |

  Scenario: The time of nearly all of a few requests is not known
    Given 19 requests that took 0.02 s and 0 that took 2 s
    Then what nearly all of them took is not known

  Scenario: The time of nearly all requests follows a change
    Given 1000 requests that took 2 s and then 20000 that took 0.02 s
    Then nearly all of them took at most 0.02 s, to a quarter above

  Scenario: Kinds that come and go take no more and more memory
    Given 20 requests that took 0.02 s and 0 that took 2 s
    When 20 requests of each of 499 other kinds have ended
    Then nearly all of them took at most 0.02 s, to a quarter above
    When 20 requests of each of 500 other kinds have ended
    Then what nearly all of them took is not known
