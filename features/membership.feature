Feature: Nodes find each other and notice what has failed

  Scenario: Nodes find each other through one seed
    Given the first node "a" in "dc1"
    And the nodes "b" in "dc1", "c" in "dc2", "d" in "dc2" with "a" as seed
    Then every node knows 4 nodes as live

  Scenario: Nodes find each other through the table, which is down at first
    Guards against nodes that give up before the platform is back.
    Given the platform is known but down
    And the nodes "a" in "dc1", "b" in "dc1", "c" in "dc2" without seeds
    When the platform starts
    Then every node knows 3 nodes as live
    And the row of "dc1" names "a", "b"

  Scenario: A killed node is marked dead and calls do not wait for it
    Given the nodes "front", "one", "two" in "dc1"
    And upstreams of "catalogue" beside "one", "two"
    When node "one" is killed
    And 200 calls for "/catalogue/page" are sent to "front" in turn
    Then all calls were answered and the slowest took less than 1 s
    And "one" becomes "dead" at "front", "two"

  Scenario: A frozen node is marked dead and refutes when it resumes
    Given the nodes "front", "one", "two" in "dc1"
    And upstreams of "catalogue" beside "one", "two"
    When node "one" is frozen
    Then "one" becomes "dead" at "front", "two"
    When node "one" resumes
    Then "one" becomes "taking" at "front", "two"
    And "front" becomes "joining" at "one", "two"
    And "one" serves calls of "front" for "/catalogue/page" again

  Scenario: A restarted node replaces its record
    Given the nodes "front", "one", "two" in "dc1"
    And upstreams of "catalogue" beside "one", "two"
    When node "one" is killed
    Then "one" becomes "dead" at "front", "two"
    When node "one" starts again
    Then "one" becomes "joining" at "front", "two"
    When an upstream of "catalogue" starts beside "one"
    Then "one" becomes "taking" at "front", "two"
    And "one" has a higher incarnation at "front", "two"
