Feature: Connections to owners that don't answer

  # Guards against a check of connections that ends when one opens meanwhile.
  Scenario: The next owner is checked after a silent one has released a request
    Given two owners that accept connections and never answer
    When an idempotent request is sent to the first one, and to the second one when it is released
    Then both owners are suspected, and release it within 3 seconds

  # Guards against a connection whose loss is never reported, which ends the
  # checks of all connections and every later request to that owner.
  Scenario: A request follows one whose connection opened while the process was paused
    Given an owner that reads requests and never answers
    When the process is paused for 0.7 seconds as a connection to it opens
    And another request is sent to it
    Then the first request has not run
    And the owner has received the other one
    And no callback of the event loop has failed

  # Guards against a version that waits for the end of large answers.
  Scenario: A version is not requested on the connection of large answers
    Given an owner that reads requests and never answers
    When a download and then a version are requested from it
    Then the version is requested on another connection
