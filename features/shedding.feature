Feature: Under overload internal lookups are shed before orders
  The class of the root decides in the whole chain, and what is refused is
  refused before any work.

  Scenario: A slow deep service sheds by the class of the root
    Guards against a chain that sheds orders while lookups run.
    Given a shop of "catalogue", "orders", "inventory" whose inventory has 4 slots
    And upstream "inventory" needs 50 ms for each request
    When mixed load of 240 requests a second arrives for 6 s
    Then of the last 3 s internal lookups were answered least and orders most
    And at least 95 % of the orders of the last 3 s were answered
    And at most 5 % of the internal lookups of the last 3 s were answered

  Scenario: A request refused at its first node starts no work
    Guards against work for requests that a deeper service then refuses.
    Given a shop of "catalogue", "orders", "inventory" whose inventory has 4 slots
    And upstream "inventory" needs 50 ms for each request
    When mixed load of 240 requests a second arrives for 6 s
    Then at least 100 requests were refused as early_refusal
    And no request refused at its first node ran at any upstream
    And of the last 3 s at most 15 % of the runs at "orders" were wasted

  Scenario: A call whose deadline cannot be met is refused before work
    Given a shop of "catalogue", "orders", "inventory" whose inventory has 4 slots
    And upstream "inventory" needs 400 ms for each request
    When a caller asks node "catalogue" for "/catalogue/page" 5 times
    And 10 requests with a deadline of 100 ms arrive at node "catalogue"
    Then at least 9 requests were refused as deadline
    And no request refused at its first node ran at any upstream

  Scenario: Nodes without control forward requests through the chain
    Guards against a comparison with a forwarding mode that answers nothing.
    Given a shop of "catalogue", "orders", "inventory" without control
    When mixed load of 40 requests a second arrives for 2 s
    Then every request was answered
