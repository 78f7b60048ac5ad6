Feature: Nodes keep up with a store that returns from a copy

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: A change is in force although its version was given out before
    Guards against a feed that goes on from a position of the lost history,
    while new transactions have already passed it.
    Given a copy is made of the store
    When 30 rows are put by other writers
    And the route "extra" with prefix "/extra/" for "orders" is added
    Then "one" serves "/extra/1" again
    And "two" serves "/extra/1" again
    When the store goes away and returns from the copy
    And the route "late" with prefix "/late/" for "orders" is added
    And 60 rows are put by other writers
    And the store has no faults
    Then "one" serves "/late/1" within 2 seconds
    And "two" serves "/late/2" within 2 seconds

  Scenario: A return from a copy is noticed although it took an instant
    Guards against a poll that is sent once more on a new connection, and then
    waits from a position of the lost history.
    Given a copy is made of the store
    When 30 rows are put by other writers
    And the route "extra" with prefix "/extra/" for "orders" is added
    Then "one" serves "/extra/1" again
    And "two" serves "/extra/1" again
    When the store returns from the copy at once and gets 60 rows again
    Then "one" logs "store_restored" within 1 seconds
    And "two" logs "store_restored" within 1 seconds

  Scenario: A node whose row was lost writes it again
    Guards against groups of nodes that never find each other, since a row
    written in the lost seconds stays lost.
    Given a copy is made of the store
    And the instance "three" with a back end of "orders"
    And the store has a row of "three"
    When the store goes away and returns from the copy
    And the store has no faults
    Then the store has a row of "three" within 2 seconds

  Scenario: A node that leaves removes the row that came back
    Guards against the row of an instance that is gone, which every node would
    dial from then on.
    Given the store has a row of "two"
    And a copy is made of the store
    When a client of "two" sends POST "/order/1?delay_ms=1500" as "f1" and waits
    And the back end of "two" says "draining"
    And the node of "two" gets SIGTERM
    Then the store has no row of "two" within 2 seconds
    When the store goes away and returns from the copy
    And the store has no faults
    Then the store has no row of "two" within 2 seconds
    And the waiting client gets status 200
    And the node of "two" exits with status 0
    And the store has no row of "two" within 2 seconds

  Scenario: No node falls back to the older policy of the copy
    Guards against a confirmed change that comes back older at nodes that
    read the copy, before the operator has written it again.
    Given a copy is made of the store
    When the route "extra" with prefix "/extra/" for "orders" is added
    Then "one" serves "/extra/1" again
    And "two" serves "/extra/1" again
    When the store goes away and returns from the copy
    And the store has no faults
    Then "one" logs "store_restored"
    And "two" logs "store_restored"
    And "one" logs "policy_ignored"
    And "one" serves "/extra/2" within 1 seconds
    And "two" serves "/extra/3" within 1 seconds
    When the node of "one" is killed and started
    Then "one" serves "/extra/4" within 6 seconds
