Feature: Clients identify their organisation with a key

  Background:
    Given a platform with the routes
      | name  | prefix  | kind     | service   |
      | page  | /page/  | safe     | catalogue |
      | file  | /file/  | download | orders    |
      | order | /order/ | unsafe   | orders    |
      | open  | /open/  | safe     | catalogue |
    And the route "open" allows anonymous requests
    And the organisations
      | name | keys                        |
      | vine | vine-key-one,vine-key-two   |
      | oak  | oak-key                     |
    And clients hold the key "vine-key-one"
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario Outline: Upstreams get the name that belongs to the key, and no key
    Guards against a key that an upstream reads, and against a client that
    names another organisation.
    When a client of "one" sends POST "/order/1" as "a1" with the headers
      | name          | value         |
      | Authorization | Bearer <key>  |
      | Tenant-Name   | forged        |
    Then it gets status 200
    And "a1" ran for the organisation "<organisation>" without credentials

    Examples:
      | key          | organisation |
      | vine-key-two | vine         |
      | oak-key      | oak          |

  Scenario Outline: Requests without a known key do not run
    Guards against access without a key.
    When a client of "one" sends GET "/page/1" as "b1" with the headers
      | name          | value         |
      | Authorization | <credentials> |
    Then it gets status 401
    And "b1" ran nowhere

    Examples:
      | credentials           |
      | Bearer nobody         |
      | Bearer                |
      | Basic vine-key-one    |
      | Bearer vine-key-one x |

  Scenario: An anonymous route needs no key and names no organisation
    Guards against a forged name on a route without a check.
    When a client of "one" sends GET "/open/1" as "c1" with the headers
      | name          | value         |
      | Authorization | Bearer nobody |
      | Tenant-Name   | oak           |
    Then it gets status 200
    And "c1" ran for the organisation "" without credentials

  Scenario: Nested calls carry no key, and only running requests have them
    Guards against clients that pass for a nested call to avoid the check.
    When a client of "two" sends GET "/file/1?call=shop.example/page/2" as "d1"
    Then it gets status 200
    And "d1.0" ran for the organisation "" without credentials
    When a client of "two" sends GET "/page/3" as "d2.0" with the headers
      | name          | value         |
      | Authorization | Bearer nobody |
    Then it gets status 401
    And "d2.0" ran nowhere
    When a client of "two" without a key at 127.0.0.1 sends GET "/page/3" as "d3.0"
    Then it gets status 503
    And "d3.0" ran nowhere

  Scenario: The id of a request does not tell whose it is
    Guards against clients whose ids have the form of those of nested calls,
    so that a request passes for a call of another one that runs.
    Given a client of "two" has GET "/file/1?delay_ms=3000" run as "1796.5"
    When a client of "two" sends GET "/file/2" as "1796.7" with the headers
      | name          | value         |
      | Authorization | Bearer nobody |
    Then it gets status 401
    And "1796.7" ran nowhere
    When a client of "two" sends GET "/file/3" as "1796.8" with the headers
      | name          | value          |
      | Authorization | Bearer oak-key |
    Then it gets status 200
    And "1796.8" ran for the organisation "oak" without credentials
    When a client of "two" sends GET "/file/4" as "1796.5.0" with the headers
      | name          | value         |
      | Authorization | Bearer nobody |
    Then it gets status 401
    And "1796.5.0" ran nowhere
    When a client of "two" without a key at 127.0.0.2 sends GET "/file/5" as "1796.5.1"
    Then it gets status 401
    And "1796.5.1" ran nowhere

  Scenario: Nested calls of a request with a point in its id run
    Guards against a nested call whose request is not found, as the id is cut
    at the first point.
    When a client of "two" sends GET "/file/1?call=shop.example/page/2" as "1796.5"
    Then it gets status 200
    And "1796.5.0" ran for the organisation "" without credentials

  Scenario: A client without a key does not pass for an upstream that it shares an address with
    Guards against access without a key for those who know the id of a request
    that runs.
    Given a client of "two" has GET "/file/1?delay_ms=2000" run as "e1"
    When a client of "two" without a key at 127.0.0.1 sends GET "/page/3" as "e1.7"
    Then "e1.7" ran nowhere

  Scenario: A withdrawn key is refused on an open connection and after a restart
    Guards against a key that comes back with a node that finds the store away.
    Given an open connection of a client to "one"
    Then its request for "/page/1" gets status 200
    When the key "vine-key-one" of "vine" is withdrawn
    Then its requests for "/page/1" get status 401 within 5 s
    When the store has the faults
      | name | value |
      | down | 1     |
    And the node "one" is killed and started again
    Then "one" refuses "/page/2" with status 401 and never serves it

  Scenario: What this version does not know leaves the rest in force
    Guards against one new entry that makes all nodes refuse everything.
    When the policy also has an unknown entry and an organisation that is not valid
    And the route "extra" with prefix "/extra/" for "orders" is added
    Then "one" serves "/extra/1" again
    And the log of "one" has 1 line of "policy_left_out" with "left_out"

  Scenario: Keys appear in no output of a node
    Guards against keys in log lines and metrics.
    When a client of "one" sends GET "/page/1" as "e1"
    And the operator's document is "{"resourceType": "vine-key-one""
    And a client of "one" sends GET "/nowhere/1" as "e2"
    Then no output of "one" and "two" has a key

  Scenario: Without organisations, both headers are forwarded as before
    Guards against a change for policies that ask for no keys.
    When the policy has no organisations
    And a client of "one" sends GET "/page/1" as "f1" with the headers
      | name          | value         |
      | Authorization | Bearer own    |
      | Tenant-Name   | own           |
    Then it gets status 200
    And "f1" ran for the organisation "own" with the credentials "Bearer own"
