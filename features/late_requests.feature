Feature: Requests that come late in a planned stop

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the recording instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"
    And the routes have a timeout of 5 s

  Scenario: A request that is complete late in a stop is refused and not run
    Guards against an order that is passed on when it can no longer end, and
    cut with the process.
    When another client of "one" sends POST "/order/0?delay_ms=4700"
    And a client of "one" sends POST "/order/1?delay_ms=4000" as "a1" but for its last byte
    And the node of "one" gets SIGTERM
    And 3.5 seconds pass
    And the client sends the last byte
    Then the client gets status 503
    And "a1" reached no back end
    And the node of "one" exits with status 0

  Scenario: A request that cannot end before the process does gets an answer
    Guards against a connection that ends without an answer at the end of the
    grace period.
    When the node of "one" gets SIGTERM
    And 1.5 seconds pass
    And a client of "one" sends POST "/order/1?delay_ms=4800" as "b1" but for its last byte
    And the client sends the last byte
    Then the client gets status 504
    And the node of "one" exits with status 0

  Scenario: A request that began during a stop may use five sixths of the grace period
    Guards against work that is cut off while the platform still allows it.
    When the route "list" with prefix "/list/" for "orders" is added
    And the routes have a timeout of 5 s
    And the node of "one" gets SIGTERM
    And 0.5 seconds pass
    And a client of "one" sends POST "/list/1?delay_ms=5200" as "d1" but for its last byte
    And the client sends the last byte
    Then the client gets status 504 from 5.0 to 6.0 s after the signal
    And the node of "one" exits with status 0

  Scenario Outline: The reserves of a stop stay within the last sixth of the grace period
    Guards against work that is cut off too early when the platform grants
    another grace period.
    Given a stop with <grace> s of grace
    Then answers are due after <allowed> s and before its drain ends
    And the drain ends before <grace> s

    Examples:
      | grace | allowed |
      | 1.5   | 1.25    |
      | 3.0   | 2.5     |
      | 6.0   | 5.0     |
      | 10.0  | 8.33    |
      | 30.0  | 25.0    |

  Scenario Outline: A request counts from the moment at which it was read
    Guards against a stop that ends between the read of a request and its
    handling, so that the request is passed on and cut.
    Given a listener whose drain has just begun
    When a client's request is read and <then>
    Then <count> connection is busy at once
    And no connection is busy after the request

    Examples:
      | then                     | count |
      | it is handled            | 1     |
      | the client leaves        | 1     |

  Scenario: A running request makes its calls until the end of a stop
    Guards against work that fails because the node refuses the calls that it
    still needs.
    When a client of "one" sends POST "/order/1?call=shop.example/page/2%3Fdelay_ms=850&times=5" as "c1" but for its last byte
    And the client sends the last byte
    And 0.3 seconds pass
    And the node of "two" gets SIGTERM
    Then the client gets status 200
    And the node of "two" exits with status 0
