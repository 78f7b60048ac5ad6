Feature: The way of a request is told from the logs of several nodes

  Scenario: A request is told from its refusal at one node to its cause
    Guards against a refusal whose cause stands in the log of another node.
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"
    When a client of "one" sends POST "/order/1?fault=lost" as "t1"
    Then the command "trace" reports "t1" from the logs of all nodes
      | node | words                                                  |
      | two  | the run of t1 for orders, upstream_cut, it may have run |
      | one  | request t1 for orders, Failed attempts: two upstream_cut |
    And the command "trace" reports "t1" from the logs of all nodes
      | node | words                      |
      | one  | two is taking              |
      | two  | upstream joined            |
    When the back end of "two" says "draining"
    And a client of "one" sends POST "/order/2" as "t2"
    Then the command "trace" reports "t2" from the logs of all nodes
      | node | words                                       |
      | one  | request t2 for orders, it has not run       |
      | one  | two is leaving                              |

  Scenario: A request that no line names ends with status 1
    Guards against silence when lines were left out.
    Given a log file with the lines
      """
      sidecar-a 12.5 {"time": "2026-12-04T10:00:01+00:00", "instance": "a", "message": "level: full", "event": "request", "request": "x1", "left_out": 7}
      not a line of a node
      {"time": "2026-12-04T10:00:00+00:00", "instance": "a", "message": "cut: gone", "event": "run", "request": "x1.2", "took_ms": 12.34}
      """
    Then the command "trace" finds nothing about "y1" and says "left out 7 lines"
    And the command "trace" says of "x1.2" in this order
      | words                              |
      | 10:00:00.000 a: the run of x1.2    |
      | 10:00:01.000 a: request x1         |
