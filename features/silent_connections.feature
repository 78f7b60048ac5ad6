Feature: Connections that have gone silent are replaced without anyone's help

  Scenario Outline: Calls find a silent connection within 1.5 s
    Guards against a connection that drops packets while its socket is open.
    Given the proxied nodes "front", "one" in "dc1"
    And upstreams of "catalogue" beside "one"
    And a call of "front" for "/catalogue/page" was answered
    When a slow call of 1000 ms is in flight at "front" for "/catalogue/page"
    And all open connections freeze what "front" <direction>
    Then the slow call ends within 3.5 s, answered or as may have run
    And 20 more calls of "front" for "/catalogue/page" are answered
    And a silent connection was counted

    Examples:
      | direction          |
      | receives           |
      | sends and receives |

  Scenario: Calls get past a connection on which only answers arrive
    Guards against calls that are lost on a connection whose last answer has
    just arrived. The prober may replace it before a call finds it silent.
    Given the proxied nodes "front", "one" in "dc1"
    And upstreams of "catalogue" beside "one"
    And a call of "front" for "/catalogue/page" was answered
    When a slow call of 1000 ms is in flight at "front" for "/catalogue/page"
    And all open connections freeze what "front" sends
    Then the slow call ends within 3.5 s, answered or as may have run
    And 20 more calls of "front" for "/catalogue/page" are answered
    And a connection between the nodes was frozen and another one works

  Scenario: The next call after a freeze is answered within its deadline
    Guards against a detection that needs a call in flight at the freeze.
    Given the proxied nodes "front", "one" in "dc1"
    And upstreams of "catalogue" beside "one"
    And a call of "front" for "/catalogue/page" was answered
    When all open connections between nodes freeze "both"
    Then 20 more calls of "front" for "/catalogue/page" are answered

  Scenario: All connections freeze twice in a row
    Given the proxied nodes "front", "one", "two" in "dc1"
    And the proxied nodes "far" in "dc2"
    And upstreams of "catalogue" beside "one", "two"
    And a call of "front" for "/catalogue/page" was answered
    When all open connections between nodes freeze "both"
    Then 20 more calls of "front" for "/catalogue/page" are answered
    When all open connections between nodes freeze "both"
    Then 20 more calls of "front" for "/catalogue/page" are answered
    And 20 more calls of "far" for "/catalogue/page" are answered
    And no node is dead at any other

  Scenario: Idle connections that froze are found by probes alone
    Given the proxied nodes "a", "b", "c", "d" in "dc1"
    Then every node knows 4 nodes as live
    When all open connections between nodes freeze "both"
    Then a silent connection was counted
    And no end of a frozen connection stays open
    And no node is dead at any other

  Scenario: A payment in flight on a silent connection does not run twice
    Given the proxied nodes "front", "one", "two" in "dc1"
    And upstreams of "orders" beside "one", "two"
    When a slow payment of 1000 ms is in flight at "front" for "/orders/pay"
    And all open connections between nodes freeze "both"
    Then the slow call ends within 3.5 s, answered or as may have run
    And the payment ran once in all

  Scenario: Silent connections to the upstream do not spoil later calls
    Guards against a pool of idle connections that each cost one call.
    Given a node "one" whose upstream of "catalogue" is behind a proxy
    When 30 calls of 200 ms at once open connections to the upstream
    And all open connections to the upstream freeze "both"
    And a call of "one" with a deadline of 800 ms fails as may have run
    Then 20 more calls of "one" for "/catalogue/page" are answered
