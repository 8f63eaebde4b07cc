@alone
Feature: Requests that come late in the grace period of a planned stop

  Background:
    Given VMs of two data centres
      | vm | data centre | service |
      | a1 | bergen      | desk    |
      | a2 | bergen      | desk    |
      | a3 | bergen      | feed    |
      | b1 | voss        | desk    |
    And each target of "desk" has executed POST "/desk/unsafe/slower"

  # Guards against requests that are passed on late in a planned stop and ended
  # by an answer of the node's own, or cut, while their target is at work.
  Scenario: A planned stop takes no request that it can't finish
    When the daemon of "a2" gets SIGTERM
    And clients on "a2" send POST "/desk/unsafe/slower" each 0.2 s for 6 s
    Then each request that was executed was answered with 200
    And the others got 503 or no connection
    And some got 200

  # The same, with the longest stop: the node serves on while the other owners
  # of its service are down.
  Scenario: A planned stop during restarts takes no request that it can't finish
    When the daemon of "a2" gets SIGTERM
    And the daemon of "a1" is killed 0.3 s and that of "b1" 1.2 s later
    And 3.4 s elapse
    And clients on "a2" send POST "/desk/unsafe/slower" each 0.1 s for 2 s
    Then each request that was executed was answered with 200
    And the others got 503 or no connection

  # The same for requests of a kind that mostly takes far less than its longest,
  # which the mean time hides.
  Scenario: A planned stop takes no long request of a kind with many short ones
    Given clients on "a2" have sent POST "/desk/unsafe/ok" 60 times
    When the daemon of "a2" gets SIGTERM
    And the daemon of "a1" is killed 0.3 s and that of "b1" 1.2 s later
    And 3.4 s elapse
    And clients on "a2" send POST "/desk/unsafe/slower" each 0.1 s for 2 s
    Then each request that was executed was answered with 200
    And the others got 503 or no connection

  # Guards against a connection that is closed as idle while a request that came
  # on it has not been read yet.
  Scenario: A planned stop answers a request that came while the process was paused
    Given a client on "a2" with an open connection
    When the daemon of "a2" gets SIGTERM
    And it is paused from 2 s to 2.6 s after that, and the client sends GET "/desk/safe/ok" at 2.2 s
    Then the paused process has answered with 200

  # Guards against a process that ends while answers are still in the buffers of
  # its transports, and cuts those that clients read more slowly.
  Scenario: A planned stop ends after its clients have got their whole answers
    When the daemon of "a2" gets SIGTERM
    And 2.0 s elapse
    And a client on "a2" sends GET "/desk/safe/huge" and reads 3 MB in 2.4 s
    Then that client has got the whole answer

  # Guards against an idempotent request that is refused for want of knowledge.
  Scenario: A planned stop answers a request that came while a pause took longer
    Given a client on "a2" with an open connection
    When the daemon of "a2" gets SIGTERM
    And it is paused from 2 s to 2.9 s after that, and the client sends GET "/desk/safe/ok" at 2.2 s
    Then the paused process has answered with 200

  # Guards against a request from before the stop that is cut without an answer,
  # as its deadline is after the end of the process.
  Scenario: A planned stop answers a request that outlasts it
    Given requests have 9 s on the routes of "desk"
    When a client on "a2" sends POST "/desk/unsafe/endless" with 9 s to its deadline
    And the daemon of "a2" gets SIGTERM
    Then that client gets 504 within 6 s
