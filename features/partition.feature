Feature: A data centre that is cut off goes on and joins again by itself

  Scenario Outline: Both sides of a partition serve, and find each other again
    Guards against neighbours that believe the other side's news of their
    death when the partition ends.
    Given the proxied nodes "a1", "a2" in "dc1"
    And the proxied nodes "b1", "b2" in "dc2"
    And upstreams of "catalogue" beside "a1", "b1"
    And upstreams of "orders" beside "b2"
    When "dc1" and "dc2" are cut off from each other by <how> packets
    Then 100 calls of each node for "/catalogue/page" take less than 1 s each
    And "b1" becomes "dead" at "a1", "a2"
    And "a2" becomes "dead" at "b1", "b2"
    And 100 calls of each node for "/catalogue/page" take less than 1 s each
    And a call of "a2" for "/orders/list" is refused as not run
    When load of 4 callers on "/catalogue" goes on through "a2", "b2"
    And the partition ends
    Then every node knows 4 nodes as live
    And every call of the load was answered and ran once
    And 20 more calls of "a2" for "/orders/list" are answered

    Examples:
      | how     |
      | refused |
      | dropped |

  Scenario: A data centre that others still reach is not taken for dead
    Guards against a partition between two of three data centres that makes
    both useless to each other's neighbours.
    Given the proxied nodes "a1" in "dc1"
    And the proxied nodes "b1" in "dc2"
    And the proxied nodes "c1" in "dc3"
    When "dc1" and "dc3" are cut off from each other by dropped packets
    Then "a1" asks others 3 times about a silent node
    And no node is dead at any other
