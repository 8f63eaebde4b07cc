Feature: Rate limits that a target names in its answers

  # Guards against an owner that admits by slots alone and sends a target far
  # more requests than the limit that the target names.
  Scenario Outline: A target that names a limit gets no more requests
    Given an owner beside a target of 16 slots that answers after 0.05 s
    And at 1 s the target names "<limit>"
    When <offered> requests per second arrive for 12 s
    Then from 1.2 s on the target gets at most <most> requests in each 4 s
    And at least <least> requests in all from 2 s to 12 s
    And each refusal from 1.2 s on is not-run with a Retry-After of at most 3 s

    Examples:
      | limit | offered | most | least |
      | 92    | 180     | 378  | 900   |
      | 10.8  | 200     | 46   | 100   |
      | 1     | 50      | 6    | 9     |
      | 0.2   | 50      | 3    | 4     |
      | 0     | 50      | 3    | 4     |

  Scenario: A limit above the offered rate refuses nothing
    Given an owner beside a target of 16 slots that answers after 0.05 s
    And at 1 s the target names "1e12"
    When 100 requests per second arrive for 6 s
    Then none is refused

  Scenario Outline: A limit that changes or goes away is followed at once
    Given an owner beside a target of 16 slots that answers after 0.05 s
    And at 1 s the target names "<first>"
    And at 6 s the target names "<second>"
    When 150 requests per second arrive for 12 s
    Then at least <least> and at most <most> requests in all from 8 s to 12 s

    Examples:
      | first | second | least | most |
      | 20    | 60     | 235   | 250  |
      | 60    | 20     | 75    | 85   |
      | 0     | 20     | 75    | 85   |
      | 20    |        | 590   | 601  |
      | 0     |        | 590   | 601  |
      | 20    | nan    | 75    | 85   |
      | 20    | -3     | 75    | 85   |

  # Guards against an answer that overtakes the one that names the limit.
  Scenario: An answer to a request of before the limit does not end it
    Given an owner beside a target of 16 slots that answers after 0.05 s
    And at 1 s the target names "10"
    And every 7th request takes 0.9 s, with the headers of its start
    When 100 requests per second arrive for 4 s
    Then from 1.2 s on the target gets at most 41 requests in each 4 s

  Scenario: The limit of a target does not bind its successor at the address
    Given an owner beside a target of 64 slots that answers after 0.05 s
    And at 1 s the target names "5"
    And at 4 s the target names ""
    And at 4 s another target takes the address
    And every 3rd request takes 0.9 s, with the headers of its start
    When 100 requests per second arrive for 6 s
    Then at least 195 and at most 203 requests in all from 4 s to 6 s

  Scenario: A target that starts again under its id is not bound by its past
    Given an owner beside a target of 64 slots that answers after 0.05 s
    And at 1 s the target names "5"
    And at 4 s the target names ""
    And at 4 s the target starts again under its id
    And every 3rd request takes 0.9 s, with the headers of its start
    When 100 requests per second arrive for 6 s
    Then at least 195 and at most 203 requests in all from 4 s to 6 s

  Scenario: A short excess waits for room instead of being refused
    Given an owner beside a target of 16 slots that answers after 0.05 s
    And at 0 s the target names "40"
    When 20 requests per second arrive for 3 s, in groups of 4
    Then none that came after 0.5 s is refused

  Scenario: A cancelled request leaves its room to the next one
    Given an owner beside a target of 16 slots that answers after 0.05 s
    And at 0 s the target names "2"
    When 20 requests per second arrive for 6 s, each cancelled after 0.1 s
    Then at least 7 and at most 9 requests in all from 2 s to 6 s

  # Guards against a limit that is lost when the process beside the target is
  # replaced: its first requests come before the first answer.
  Scenario: An owner that has just started holds to the limit that peers recorded
    Given an owner beside a target of 16 slots that answers after 0.9 s
    And at 0 s the target names "2"
    When 40 requests per second arrive for 0.5 s from a peer that recorded "2"
    Then at least 1 and at most 2 requests in all from 0 s to 0.9 s
    And it reports the limit "2"

  Scenario: An owner that learns the limit before its target is known holds to it
    Given an owner beside a target of 16 slots that answers after 0.9 s
    And a peer has recorded "2" for target "t2"
    And at 0 s another target takes the address
    When 40 requests per second arrive for 0.5 s
    Then at least 1 and at most 2 requests in all from 0 s to 0.9 s

  Scenario: The lowest limit that peers recorded counts until the target answers
    Given an owner beside a target of 16 slots that answers after 0.9 s
    And a peer has recorded "7" for target "t1"
    And a peer has recorded "2" for target "t1"
    And a peer has recorded "5" for target "t1"
    Then it reports the limit "2"

  # Guards against a limit that is lost as the start time of its target becomes
  # known only after it was named.
  Scenario: A limit named before the first heartbeat to a new process holds
    Given an owner beside a target of 16 slots that answers after 0.9 s
    And its process has started after the last heartbeat
    And at 0 s the target names "2"
    And at 2.5 s a heartbeat reports the target as ready
    When 40 requests per second arrive for 5 s
    Then at least 4 and at most 6 requests in all from 2.4 s to 5 s

  Scenario: A limit that a peer recorded by the target's id alone is applied
    Given an owner beside a target of 16 slots that answers after 0.9 s
    And a peer has recorded "2" for the id of target "t1"
    Then it reports the limit "2"

  Scenario: What the target answers counts more than what peers recorded
    Given an owner beside a target of 16 slots that answers after 0.05 s
    When 40 requests per second arrive for 4 s from a peer that recorded "2"
    Then at least 118 and at most 121 requests in all from 1 s to 4 s
    And it reports no limit

  Scenario: A limit that peers recorded for another process of the target is ignored
    Given an owner beside a target of 16 slots that answers after 0.9 s
    And a peer has recorded "2" for target "t0"
    Then it does not know the limit
