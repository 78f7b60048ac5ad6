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

  Scenario: A late departure of an earlier upstream does not replace the last one
    Guards against a row that forgets the upstream that has just left.
    When the back end of "two" deregisters
    And a late deregistration of "i-earlier" reaches the node of "two"
    And the nodes "one" and "two" are killed and started
    Then "one" serves "/page/1" again
    When a late heartbeat of the back end of "two" arrives
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

  Scenario: A departure that neither the store nor a node remembers holds
    Guards against a late heartbeat that passes for that of a new upstream,
    after all nodes that knew of the departure were killed before the store
    could take it.
    When the store has the faults "silent"
    And the back end of "two" deregisters
    And the nodes "one" and "two" are killed and started
    And the store has no faults
    Then "one" serves "/page/1" again
    And the store has no departure of "two"
    When a late heartbeat of the back end of "two" arrives
    Then no request of "one" for "/order/" is served for 2.5 seconds

  Scenario: Late heartbeats of an earlier start do not bring an upstream back
    Guards against two heartbeats of a start that has ended, which pass for
    those of a live one once the current start has left and is silent.
    When the back end of "two" is killed and started
    Then "two" logs "upstream_restarted"
    When the back end of "two" deregisters
    And 3.5 s pass without a heartbeat
    And heartbeats 90 and 91 of the start before that of "two" arrive
    Then no request of "one" for "/order/" is served for 2.5 seconds

  Scenario Outline: A live upstream is used again although its status check <answers>
    Guards against a restarted node that keeps an upstream out because the
    upstream is busy or wrong about its health.
    Given the status check of "two" <answers>
    When the nodes "one" and "two" are killed and started
    Then "one" serves "/order/again" again

    Examples:
      | answers          |
      | says 503         |
      | takes 1200 ms    |

  Scenario Outline: A departure that nothing but its node holds is not acknowledged
    Guards against an acknowledgement that a kill of the node makes untrue.
    When the node of "one" is killed
    And the store has the faults "silent"
    And the back end of "two" <leaves> without an acknowledgement
    Then no request of "two" for "/order/" is served for 0.5 seconds
    When the store has no faults
    Then the back end of "two" <leaves> with an acknowledgement in time
    And the store has a departure of "two"

    Examples:
      | leaves           |
      | says "draining"  |
      | deregisters      |

  Scenario: The departure of a start that drains at once is kept
    Guards against the departure of an earlier start that stays in its place,
    as the node was leaving already.
    When the back end of "two" says "draining"
    And the back end of "two" reports "draining" as number 1 of a later start
    Then the departure of "two" in the store is that of the later start

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

  Scenario Outline: Requests that wait in a node are not sent once its upstream leaves
    Guards against a departure that is checked before a wait only, so that
    requests reach the upstream when it may be gone.
    Given the back end of "two" is killed and started with 2 slots
    And the node of "two" knows 2 slots
    When 6 clients of "one" send POST "/order/1?delay_ms=1200" with 6 s left
    And the back end of "two" runs 1 request
    And the back end of "two" <leaves>
    Then 5 of them get status 503 within 1.0 seconds
    And all of them are answered, 1 with status 200
    And the back end of "two" has run 1 request

    Examples:
      | leaves              |
      | says "draining"     |
      | deregisters         |

  Scenario: Requests that wait in a node are run while it stops
    Guards against a planned stop that refuses what its node has taken.
    Given the back end of "two" is killed and started with 2 slots
    And the node of "two" knows 2 slots
    When 2 clients of "one" send POST "/order/1?delay_ms=400" with 6 s left
    And the back end of "two" runs 1 request
    And the node of "two" gets SIGTERM
    Then all of them are answered, 2 with status 200
