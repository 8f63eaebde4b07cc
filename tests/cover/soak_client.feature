Feature: Clients of the soak test

  # Guards against a refused connection that counts as a request cut by a node.
  Scenario Outline: A refused connection is told from one that is cut
    Given a VM <listens>
    When a client of the soak sends it a request
    Then the client records status <status>

    Examples:
      | listens                              | status |
      | on which nothing listens             | -1     |
      | that closes connections unanswered   | 0      |
      | that answers with 200                | 200    |
