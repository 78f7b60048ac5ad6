Feature: Requests on a platform are routed, kept apart and run at most once

  Background:
    Given a platform with the routes
      | name  | prefix    | kind   | service   |
      | page  | /page/    | safe   | catalogue |
      | deep  | /page/x/  | safe   | orders    |
      | order | /order/   | unsafe | orders    |
      | file  | /file/    | upload | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: The longest prefix decides, and the origin is named truly
    Guards against a route that wins by its order, and against a client that
    names another calling service.
    When a client of "one" sends GET "/page/x/1" as "a1" with the headers
      | name              | value  |
      | Calling-Service   | forged |
      | Expected-Instance | forged |
    Then it gets status 200
    And "a1" ran once at "two" with the caller "catalogue"
    When a client of "one" sends GET "/nowhere/1" as "a2"
    Then it gets status 404

  Scenario Outline: A request that was not answered whole is not repeated
    Guards against a second run, a foreign or short answer passed on as
    whole, and a refusal that says not run for what has run.
    When a client of "one" sends POST "/order/1?fault=<fault>" as "b1"
    Then it gets status <status>
    And "b1" ran once at "two" with the caller "catalogue"
    When a client of "one" sends GET "/page/1?size=7" as "b2"
    Then it gets status 200 and 7 bytes

    Examples:
      | fault    | status |
      | lost     | 502    |
      | garbage  | 502    |
      | short    | 502    |
      | unsigned | 502    |
      | fail     | 500    |
      | extra    | 200    |
      | late     | 200    |
      | unframed | 200    |

  Scenario: An upstream that says that it did not run a request is believed
    Guards against a 502 for what the client may safely send again.
    When a client of "one" sends POST "/order/1?fault=shed" as "c1"
    Then it gets status 503
    And "c1" ran nowhere

  Scenario: A long body arrives whole in both directions
    Guards against bodies cut at the size of a frame.
    When a client of "one" sends POST "/file/1?size=300000" as "d1" with 200000 bytes
    Then it gets status 200 and 300000 bytes

  Scenario: The work for a client that leaves is broken off only if it is safe
    Guards against work for nobody, and against a half-done order.
    When a client of "two" sends GET "/page/1?delay_ms=3000" as "e1" and leaves
    Then the back end of "one" sees "e1" cancelled
    When a client of "one" sends POST "/order/1?delay_ms=600" as "e2" and leaves
    Then the back end of "two" finishes "e2"

  Scenario: A request is not kept longer than its route's timeout
    Guards against a client that hears of the timeout only at its deadline.
    When a client of "one" sends POST "/order/1?delay_ms=5000" as "f1" with 9000 ms
    Then it gets status 504 before 4 s have passed

  Scenario Outline: Bytes that could smuggle a request are refused
    Guards against two readings of one request.
    When a client of "one" sends the bytes "<bytes>"
    Then the connection ends after status 400

    Examples:
      | bytes                                                                                   |
      | POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n |
      | POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n      |
      | GET /page/1 HTTP/1.1\nHost: a\n\n                                                       |
      | GET /page/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n                                      |
      | GET /page/1 HTTP/1.1\r\nHost : a\r\n\r\n                                                |
      | POST /order/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n            |

  Scenario Outline: Each complete request on a connection is answered
    Guards against a request that is read whole and dropped, because it offers
    another protocol or an invalid one follows it.
    When a client of "one" sends the bytes "<bytes>"
    Then the answers have the statuses <statuses>

    Examples:
      | statuses | bytes |
      | 200 200  | GET /page/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u1\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n\r\nGET /page/2 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u2\r\nConnection: close\r\n\r\n |
      | 200 200  | POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u3\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 2\r\n\r\nabGET /page/2 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u4\r\nConnection: close\r\n\r\n |
      | 200 200 400 | GET /page/1?delay_ms=100 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u5\r\n\r\nGET /page/2 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u6\r\n\r\nno request\r\n\r\n |

  Scenario: Requests that wait behind another one are answered during a stop
    Guards against requests that were read whole and that a planned stop drops
    with the connection, as an earlier one on it had to be answered first.
    When a client of "one" sends the requests "GET /page/1?delay_ms=700", "POST /order/2" and "POST /order/3" on one connection
    And 0.3 seconds pass
    And the node of "one" gets SIGTERM
    Then the answers on the connection have the statuses 200 200 200
    And only the last of them ends the connection
