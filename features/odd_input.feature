Feature: Odd entries of other writers

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: Odd heartbeats change nothing, and later ones are followed
    Guards against a node that ends, or hears its upstream no more, after one
    heartbeat that is deeply nested or has a number too large.
    When the heartbeats of "two" get odd bodies
      | change                                            |
      | "sequence": 99999999999999999999                  |
      | "sequence": 9007199254740993                      |
      | "sequence": 1e400                                 |
      | "born": 99999999999999999999                      |
      | "born": 9007199254740993                          |
      | "slots": 100000000000000000000000                 |
      | "coldRemaining": "1e400ms"                        |
      | "coldRemaining": "nanms"                          |
      | "address": "127.0.0.1:99999999999999999999"       |
      | "address": "127.0.0.1:-1"                         |
      | "address": "127.0.0.1:"                           |
      | "address": {"host": "127.0.0.1"}                  |
      | "slots": NESTED                                   |
      | "unknown": NESTED                                 |
    And a client of "one" sends POST "/order/1" as "a1"
    Then it gets status 200
    When the back end of "two" says "draining"
    And a client of "one" sends POST "/order/2" as "a2"
    Then it gets status 503
    And no task of "one" or "two" was restarted

  Scenario: Odd rows of nodes are skipped
    Guards against a node that finds no others because of one row that it
    cannot read.
    When odd rows of nodes are put
      | key      | value                                             |
      | a-nested | NESTED                                            |
      | b-large  | {"host": "127.0.0.1", "port": 99999999999999999999} |
      | c-port   | {"host": "127.0.0.1", "port": 65536}              |
      | d-float  | {"host": "127.0.0.1", "port": 1e400}              |
      | e-host   | {"host": "nowhere", "port": 1}                    |
      | f-six    | {"host": "::1", "port": 1}                        |
      | g-bytes  | BYTES                                             |
      | h-empty  |                                                   |
      | i-list   | [1, 2]                                            |
      | j-dead   | {"host": "127.0.0.1", "port": 1}                  |
    And the instance "three" joins with a back end of "orders"
    Then "three" serves "/page/1" within 6 seconds
    And no task of "one" or "three" was restarted

  Scenario: Odd policies leave the last one in force, and later ones are followed
    Guards against a node whose policy stops at a document that it cannot hold.
    When odd policies are put
      | document                                            |
      | NESTED                                              |
      | {"version": 99999999999999999999, "resources": []}  |
      | {"version": 1e400, "resources": []}                 |
      | {"version": 9223372036854775808, "resources": []}   |
      | {"version": 2, "resources": NESTED}                 |
      | TIMEOUT 1e400s                                      |
      | TIMEOUT nans                                        |
      | ATTEMPTS 99999999999999999999                       |
    And a client of "one" sends GET "/page/1" as "c1"
    Then it gets status 200
    When the route "extra" with prefix "/extra/" for "orders" is added
    Then "one" serves "/extra/1" within 2 seconds
    And "two" serves "/extra/1" within 2 seconds
    And no task of "one" or "two" was restarted

  Scenario Outline: A response of a service that cannot be held is a fault
    Guards against a task that ends because of one response.
    When the <service> responds "<body>"
    Then it is a fault

    Examples:
      | service       | body                                                  |
      | table service | NESTED                                                |
      | table service | {"rows": [{"key": "a", "version": 1e400, "value": 1}]} |
      | object store  | NESTED                                                |
      | row store     | NESTED                                                |
      | row store     | {"rows": [], "rowVersion": 1e400}                     |
