Feature: Calls that were lost on a silent connection are recovered

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the proxied instances
      | name  | service   |
      | one   | catalogue |
      | two   | orders    |
      | three | orders    |
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: A call that has not arrived runs elsewhere
    Guards against "may have run" for a request that no node has received.
    When "one" has a connection to "two" and "three"
    And the open connections between the instances freeze "both"
    And 8 clients of "one" send POST "/order/1?delay_ms=10" with 4 s left
    Then all of them are answered, 8 with status 200
    And each of them ran once
    And "one" logs "calls_recovered"

  Scenario Outline: A call that has arrived is not run again
    Guards against a second run of an order whose answer is on its way, or was
    lost.
    When "one" has a connection to "two" and "three"
    And 8 clients of "one" send POST "/order/1?delay_ms=<delay>" with 4 s left
    And <span> seconds pass
    And the open connections between the instances freeze "both"
    Then all of them are answered, 0 with status 503
    And each of them ran once

    Examples:
      | delay | span |
      | 1200  | 0.3  |
      | 300   | 0.2  |

  Scenario Outline: The answer of a call that has arrived comes over a new connection
    Guards against "may have run" for an order whose answer went into a silent
    connection, or that still runs.
    When "one" has a connection to "two" and "three"
    And 8 clients of "one" send POST "/order/1?delay_ms=<delay>" with 4 s left
    And <span> seconds pass
    And the open connections between the instances freeze "<direction>"
    Then all of them are answered, 8 with status 200
    And each of them ran once

    Examples:
      | delay | span | direction |
      | 1200  | 0.3  | both      |
      | 300   | 0.2  | both      |
      | 300   | 0.2  | back      |

  Scenario: A call whose node ends while it is asked is answered
    Guards against a call that waits for its result without end.
    When "one" has a connection to "two" and "three"
    And 8 clients of "one" send POST "/order/1?delay_ms=1500" with 4 s left
    And 0.3 seconds pass
    And the open connections between the instances freeze "both"
    And 0.9 seconds pass
    And the node of "two" is killed
    Then all of them are answered
    And no order that was refused has run, and none twice

  Scenario: A call that ends after its connection has closed is no error
    Guards against an attempt to close the sending direction once more.
    Given a connection between nodes that both have said goodbye on
    When it is lost while a call of the other node runs
    Then the end of the call closes nothing

  Scenario: A call to a node that is paused runs at most once
    Guards against a call that is recovered, and that the node still reads from
    the old connection when it goes on.
    When "one" has a connection to "two" and "three"
    And the node of "two" is paused
    And 12 clients of "one" send POST "/order/1?delay_ms=10" with 4 s left
    And 1.0 seconds pass
    And the node of "two" goes on
    Then all of them are answered
    And no order that was refused has run, and none twice
