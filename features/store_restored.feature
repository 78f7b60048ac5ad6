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
