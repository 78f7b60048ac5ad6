Feature: Acknowledged departures hold

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: A node that was killed does not use an upstream that has left
    Guards against a departure that only the killed process remembered, so
    that a late heartbeat brought the upstream back.
    When the back end of "two" deregisters
    And the node of "two" is killed and started
    And a late heartbeat of the back end of "two" arrives
    Then no request of "one" for "/order/" is served for 2.5 seconds

  Scenario: Nodes that were all killed do not use an upstream that has left
    Guards against a departure that is kept by other nodes alone.
    When the back end of "two" deregisters
    And the nodes "one" and "two" are killed and started
    Then "one" serves "/page/1" again
    When a late heartbeat of the back end of "two" arrives
    Then no request of "one" for "/order/" is served for 2.5 seconds

  Scenario: A departure that the store could not take holds after a kill
    Guards against a departure that is kept in the store alone.
    When the store has the faults "silent"
    And the back end of "two" deregisters
    And the node of "two" is killed and started
    And a late heartbeat of the back end of "two" arrives
    Then no request of "one" for "/order/" is served for 2.5 seconds after "two" logs "departure_adopted"

  Scenario: A departure that the store has lost is stored again
    Guards against a store that returns from a copy without the departure.
    Given a copy is made of the store
    When the back end of "two" deregisters
    And the store goes away and returns from the copy
    And the store has no faults
    Then the store has a departure of "two"
    When the nodes "one" and "two" are killed and started
    Then "one" serves "/page/1" again
    When a late heartbeat of the back end of "two" arrives
    Then no request of "one" for "/order/" is served for 2.5 seconds

  Scenario: The next start of an upstream that has left is used
    Guards against a departure that also holds for the start after it.
    When the back end of "two" deregisters
    And the node of "two" is killed and started
    And the back end of "two" is killed and started
    Then "one" serves "/order/again" again

  Scenario: The departure of a start whose clock was set back is in force
    Guards against a node that takes the live start for an earlier one, and
    acknowledges a departure that it ignores.
    When the back end of "two" is killed and started with a clock 60 s ahead
    Then "two" logs "upstream_restarted"
    When the back end of "two" is killed and started
    And the back end of "two" says that it drains until that is acknowledged
    Then no request of "one" for "/order/" is served for 2.5 seconds
    When the back end of "two" says "ready"
    Then "one" serves "/order/again" again
