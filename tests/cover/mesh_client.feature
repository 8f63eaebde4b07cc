Feature: Connections to owners that don't answer

  # Guards against a check of connections that ends when one opens meanwhile.
  Scenario: The next owner is checked after a silent one has released a request
    Given two owners that accept connections and never answer
    When an idempotent request is sent to the first one, and to the second one when it is released
    Then both owners are suspected, and release it within 3 seconds
