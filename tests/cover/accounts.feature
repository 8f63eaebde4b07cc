Feature: Requests belong to client accounts, by their keys

  Scenario Outline: The key is read from the client's headers and not forwarded
    When a client's request has these headers, with client accounts
      """
      <headers>
      """
    Then its key is "<key>"
    And only the headers "<forwarded>" are forwarded

    Examples:
      | headers                                                      | key  | forwarded |
      | Authorization: Token k-1, Accept: a                          | k-1  | Accept: a |
      | AUTHORIZATION: token   k-1, Accept: a                        | k-1  | Accept: a |
      | Accept: a, authorization: TOKEN k-1, X-Tenant: forged        | k-1  | Accept: a |
      | Authorization: Token k-1, Authorization: Token k-1           | k-1  |           |
      | Authorization: Token k-1, Authorization: Token k-2           |      |           |
      | Authorization: Token k-1, Authorization: Basic Zm9v          |      |           |
      | Authorization: Token k-1 k-2                                 |      |           |
      | Authorization: Token                                         |      |           |
      | Authorization:                                               |      |           |
      | Authorization: Basic Zm9v, X-TENANT: forged                  |      |           |
      | Authorization: Tokenk-1                                      |      |           |
      | Connection: Authorization, Authorization: Token k-1          | k-1  |           |
      | Connection: X-Tenant, X-Tenant: forged, x-tenant: again      |      |           |
      | X-Tenant: forged, Accept: a                                  |      | Accept: a |

  Scenario: A long key is read and not forwarded
    When a client's request has a key of 60000 bytes, with client accounts
    Then its key has 60000 bytes
    And only the headers "" are forwarded

  Scenario: Without client accounts the headers are forwarded as they are
    When a client's request has these headers, without client accounts
      """
      Authorization: Token k-1, X-Tenant: t, Accept: a
      """
    Then its key is ""
    And only the headers "Authorization: Token k-1, X-Tenant: t, Accept: a" are forwarded

  Scenario Outline: The target receives the name of the account
    When a request of the account "<account>" is sent to a target
    Then the target receives <lines> as names of the account

    Examples:
      | account | lines       |
      | shop    | "shop"      |
      |         | nothing     |

  Scenario: Accounts are found by any of their keys
    Given the client accounts
      | name  | keys    | priority |
      | shop  | k-1 k-2 | 1        |
      | desk  | k-3     | 0        |
      | twin  | k-3 k-4 |          |
      | empty |         |          |
    Then these keys belong to these accounts
      | key  | account |
      | k-1  | shop    |
      | k-2  | shop    |
      | k-3  | desk    |
      | k-4  | twin    |
      | k    | no      |
      | k-11 | no      |
      | K-1  | no      |
      |      | no      |

  Scenario Outline: An account without a printable name makes a version unreadable
    Then a version with an account named "<name>" is unreadable

    Examples:
      | name    |
      |         |
      | a\r\nb  |
      | a\x00b  |

  Scenario: A document that goes to other nodes has no keys, and the same accounts
    Given the client accounts
      | name  | keys    | priority |
      | shop  | k-1 k-2 | 1        |
      | empty |         |          |
    Then its document has none of the keys "k-1 k-2"
    And decoding it again has the same result

  # The priority of an account goes before that of the route, which decides
  # between accounts of the same priority.
  Scenario Outline: The order of service of requests, and the most urgent ones
    Given the client accounts
      | name  | keys | priority |
      | first | k-1  | <first>  |
      | other | k-2  | <other>  |
    And a keyed route of priority <keyed> and a public one of priority <public>
    Then requests are served in the order "<order>"
    And the most urgent ones are "<urgent>"

    Examples:
      | first | other | keyed | public | order              | urgent       |
      | 0     | 1     | 2     | 1      | first public other | first        |
      | 1     | 2     | 0     | 1      | first public other | first        |
      |       | 2     | 1     | 3      | first other public | first        |
      |       |       | 2     | 0      | public first=other | public       |
      | 1     | 1     | 0     | 0      | public first=other | public       |
      | 0     | 0     | 0     | 0      | public=first=other | public first other |

  Scenario: Without client accounts the route's priority is the order of service
    Given no client accounts
    And a keyed route of priority 7 and a public one of priority 2
    Then requests of the keyed route have the order of service 7
