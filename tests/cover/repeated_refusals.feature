Feature: A target that writes a refusal once more

  # Guards against 'not run, try again' for a request that runs.
  Scenario Outline: A repeated refusal proves nothing for the next request
    Given a target that refuses <first> with <refusal>
    When it writes that refusal once more, without an id, before it answers <second>
    Then <second> ends as <outcome>
    And both requests were sent on one connection

    Examples:
      | first | second | refusal               | outcome      |
      | r1    | r2     | 503 X-Not-Executed    | ran          |
      | r1    | r2     | 429 X-Not-Executed    | ran          |
      | r1    | r2     | 421 X-Instance-Id     | ran          |

  Scenario: A refusal proves nothing for a request without an id on a used connection
    Given a target that refuses r1 with 503 X-Not-Executed
    When it writes that refusal once more, without an id, before it answers no id
    Then no id ends as may-have-run
    And both requests were sent on one connection
    And that connection is not used again

  Scenario Outline: A repeated refusal that names its request is ignored
    Given a target that refuses r1 with <refusal>
    When it writes that refusal once more, with its id, before it answers r2
    Then r2 ends as ran
    And both requests were sent on one connection

    Examples:
      | refusal            |
      | 503 X-Not-Executed |
      | 421 X-Instance-Id  |

  # Guards against the refusal of the first attempt taken for that of the second.
  Scenario: A refused request is sent again to the same target on another connection
    Given a target that refuses r1 with 503 X-Not-Executed
    When it writes that refusal once more, with its id, before it answers r1
    Then r1 ends as ran
    And the requests were sent on two connections

  Scenario: A refusal without an id is accepted on a connection without other requests
    Given a target that refuses no id with 503 X-Not-Executed
    Then its first request ends as not-run
