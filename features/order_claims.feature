Feature: A caller's own key runs at most once in all data centres

  Background:
    Given the stand-in platform for orders
    And order nodes "a, b" behind fault proxies and a front node

  Scenario: Repeats at any node get the answer of the claim's holder
    When 50 orders with own keys are sent
    And the orders have been answered
    And the same orders are sent again
    And the orders have been answered
    And the same orders are sent again to node "b"
    And the orders have been answered
    Then all orders were answered and ran once

  Scenario: The same keys at two nodes in two data centres at once
    Guards against two runs when both nodes find the key unclaimed.
    Given an order node "far" in data centre "dc2"
    When 60 orders with own keys are sent to nodes "a" and "far" at once
    And the orders have been answered
    Then all orders were answered and ran once

  Scenario: The table service is out
    Guards against a "not run" although an earlier attempt may have run.
    When the table service is out
    And 20 orders with own keys are sent
    And the orders have been answered
    Then at least 20 orders were refused as "claim_unknown"
    And at least 20 orders were told "may-have-run"
    And no order ran twice and none ran that was told "not-run"
    When 20 orders with home keys are sent
    And the orders have been answered
    Then at least 20 orders were answered
    When the table service is back
    And 20 orders with own keys are sent
    And the orders have been answered
    Then at least 40 orders were answered
    And no order ran twice and none ran that was told "not-run"

  Scenario: The answer of the table service is lost after the write
    Guards against a claim that is taken for another's, and a second run.
    When 20 answers of the table service to writes are lost
    And 20 orders with own keys are sent
    And the orders have been answered
    Then all orders were answered and ran once

  Scenario: The holder of the claims is killed
    When 40 orders with own keys are sent with 800 ms of work
    And all orders run
    And order node "a" is killed
    And the orders have been answered
    And the same orders are sent again
    And the orders have been answered
    Then no order ran twice and none ran that was told "not-run"
    And at least 5 orders were told "may-have-run"

  Scenario: A refused key stays refused at every node
    Guards against a "not run" that a later repeat makes untrue.
    When the upstreams take no new work
    And 10 orders with own keys are sent
    And the orders have been answered
    Then at least 10 orders were told "not-run"
    When the upstreams take work again
    And the same orders are sent again to node "b"
    And the orders have been answered
    Then at least 20 orders were told "not-run"
    And no order ran twice and none ran that was told "not-run"

  Scenario: Delayed orders with own keys arrive after "not run"
    When the connections between nodes go silent
    And 40 orders with own keys are sent
    And the orders have been answered
    Then at least 40 orders were told "not-run"
    When the silent connections go on
    And every node has refused its delayed orders
    Then no order ran twice and none ran that was told "not-run"

  Scenario: A slow table service does not touch orders with home keys
    Guards against slots that wait for the table service.
    When the table service answers after 5000 ms
    And 390 orders with own keys are sent
    And 50 orders with home keys are sent
    And the orders have been answered
    Then at least 50 orders were answered
    And at least 390 orders were refused as "claim_unknown"
    And no order ran twice and none ran that was told "not-run"

  Scenario: A frozen holder of claims resumes
    Guards against a paused holder that runs what another node has run.
    When 60 orders with own keys are sent with 300 ms of work
    And all orders run
    And order node "a" is stopped by a signal
    And the same orders are sent again to node "b"
    And the orders have been answered
    And order node "a" goes on
    And the same orders are sent again to node "b"
    And the orders have been answered
    Then no order ran twice and none ran that was told "not-run"

  Scenario Outline: Many faults at once and one after another
    When orders of all kinds are sent through 8 rounds of random faults with seed <seed>
    And the orders have been answered
    Then no order ran twice and none ran that was told "not-run"
    And at least 100 orders were answered

    Examples:
      | seed |
      | 1    |
      | 2    |
