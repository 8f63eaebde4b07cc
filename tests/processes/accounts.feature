@alone
Feature: Client accounts on the platform

  Background:
    Given VMs of two data centres
      | vm | data centre | service |
      | a1 | bergen      | desk    |
      | a2 | bergen      | feed    |
      | b1 | voss        | desk    |
    And version 2 with the client accounts
      | name  | keys            | priority |
      | shop  | key-one key-two | 1        |
      | other | key-three       | 0        |
    And all VMs have version 2

  Scenario Outline: The target gets the name of the account and never the key
    When on "<vm>" a client with the headers "<headers>" sends GET "<path>"
    Then it gets <status>, and the target received the account "<account>"

    Examples:
      | vm | headers                                          | path            | status | account |
      | a1 | Authorization: Token key-one                     | /desk/safe/ok   | 200    | shop    |
      | a2 | authorization: token key-two, X-Tenant: other    | /desk/safe/ok   | 200    | shop    |
      | b1 | Authorization: Token key-three, x-tenant: shop   | /feed/safe/ok   | 200    | other   |
      | b1 | Authorization: Token key-four                    | /desk/safe/ok   | 401    |         |
      | a1 | X-Tenant: shop                                   | /desk/safe/ok   | 401    |         |
      | a1 | Authorization: Basic key-one                     | /desk/safe/ok   | 401    |         |
      | a1 | Accept: a                                        | /desk/public/ok | 200    |         |
      | a2 | Authorization: Token key-one, X-Tenant: shop     | /desk/public/ok | 200    |         |
      | a2 | Authorization: Token key-four                    | /desk/public/ok | 200    |         |
    And no key is in the output or the metrics of a daemon
