Feature: What is no complete answer is never passed on as one

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | file  | /file/  | upload | orders    |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario Outline: An answer that is cut while the request is still sent
    Guards against a part of an answer that is taken for the whole, because
    its end is noticed by the failed write of the request.
    Given the policy allows bodies of 33554432 bytes
    When a client of "<node>" sends POST "/file/1?fault=<fault>" as "a1" with 24000000 bytes
    Then it gets status 502
    When a client of "<node>" sends POST "/file/2?size=9" as "a2"
    Then it gets status 200 and 9 bytes

    Examples:
      | node | fault         |
      | one  | early         |
      | two  | early         |
      | one  | early_close   |
      | one  | early_chunked |
      | one  | early_length  |
      | one  | early_half    |

  Scenario Outline: An answer whose status is no status of HTTP
    Guards against an answer that no client understands, one that is awaited
    until the deadline, and a connection between nodes that ends for it.
    When a client of "<node>" sends POST "/order/1?fault=status&code=<code>" as "b1" and the time is taken
    Then it gets status 502 before 1 s have passed
    When a client of "<node>" sends POST "/order/2?size=9" as "b2"
    Then it gets status 200 and 9 bytes
    And the log of "one" and of "two" has no line with "bad frame"

    Examples:
      | node | code |
      | one  | 000  |
      | two  | 000  |
      | one  | 099  |
      | one  | 600  |
      | one  | 999  |
      | one  | 1000 |
      | one  | 2x0  |

  Scenario: A nested call gets no part of an answer either
    Guards against a request that is served with a part of what it needs.
    When a client of "one" sends POST "/order/1?call=shop.example/page/1%3Ffault%3Dstatus%26code%3D000" as "c1"
    Then it gets status 500

  Scenario Outline: Upstreams of nodes without a platform are checked as well
    Guards against an invalid status that closes the connection to the node of
    the caller, and with it all calls on it.
    Given a server that answers each request with the status line "<line>"
    When the client of a node's upstream sends a call to it
    Then the call may have run, by the rule "upstream_cut"

    Examples:
      | line             |
      | HTTP/1.1 000 Bad |
      | HTTP/1.1 099 Bad |
      | HTTP/1.1 600 Bad |
