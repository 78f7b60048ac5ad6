Feature: An order runs at most once, and not at all after a "not run"

  Background:
    Given order nodes "a, b" behind fault proxies and a front node

  Scenario: A repeat of a home key gets the same answer
    Guards against a second run of an order whose answer came.
    When 50 orders with home keys are sent
    And the orders have been answered
    And the same orders are sent again
    And the orders have been answered
    Then all orders were answered and ran once

  Scenario: A repeat joins the order that runs
    When 50 orders with home keys are sent with 400 ms of work
    And all orders run
    And the same orders are sent again
    And the orders have been answered
    Then all orders were answered and ran once

  Scenario Outline: The answer is lost after the order ran
    When 100 orders with <kind> keys are sent with 600 ms of work
    And all orders run
    And the connections between nodes <fault>
    And the orders have been answered
    Then all orders were answered and ran once

    Examples:
      | kind | fault     |
      | home | are cut   |
      | no   | are cut   |
      | home | go silent |
      | no   | go silent |

  Scenario: A delayed copy of an order arrives after "not run"
    Guards against a run of an order whose customer was told "not run".
    When the connections between nodes go silent
    And 100 orders with home keys are sent
    And the orders have been answered
    Then at least 50 orders were told "not-run"
    When the silent connections go on
    And every node has refused its delayed orders
    Then no order ran twice and none ran that was told "not-run"

  Scenario: An order without a key that never arrived runs elsewhere
    When the connections between nodes go silent
    And 40 orders with no keys are sent
    And the orders have been answered
    And the silent connections go on
    And every node has refused its delayed orders
    Then no order ran twice and none ran that was told "not-run"
    And at least 3 orders were answered

  Scenario Outline: A node is killed with orders in flight
    When 100 orders with <kind> keys are sent with 1000 ms of work
    And all orders run
    And order node "a" is killed
    And the orders have been answered
    Then no order ran twice and none ran that was told "not-run"
    And at least 10 orders were told "may-have-run"
    And at least 10 orders were answered

    Examples:
      | kind |
      | home |
      | no   |

  Scenario: A restarted home does not run the keys of its earlier life
    When 50 orders with home keys are sent with 300 ms of work
    And all orders run
    And order node "a" is killed
    And the orders have been answered
    And order node "a" is started again with its upstream
    And the same orders are sent again
    And the orders have been answered
    Then no order ran twice and none ran that was told "not-run"
    And at least 5 orders were told "may-have-run"

  Scenario Outline: A node is frozen past every timeout and resumes
    When order node "a" is stopped by a signal
    And 100 orders with <kind> keys are sent for 2500 ms
    And the orders have been answered
    And order node "a" goes on
    And the same orders are sent again
    And the orders have been answered
    Then no order ran twice and none ran that was told "not-run"

    Examples:
      | kind |
      | home |

  Scenario: An order goes on when its deadline passes
    Guards against a run that is cancelled half-way.
    When 20 orders with home keys are sent for 200 ms with 1000 ms of work
    And the orders have been answered
    Then at least 20 orders were told "may-have-run"
    When the same orders are sent again
    And the orders have been answered
    Then all orders were answered and ran once
    And no run was cancelled

  Scenario: A key belongs to one request
    When 10 orders with home keys are sent
    And the orders have been answered
    And the same orders are sent again with another body
    And the orders have been answered
    Then at least 10 orders were told "may-have-run"
    And at least 10 orders were refused as "bad_request"
    And no order ran twice and none ran that was told "not-run"

  Scenario: An answer too large to keep is given once
    When 4 orders with home keys are sent for an answer of 200000 bytes
    And the orders have been answered
    And the same orders are sent again
    And the orders have been answered
    Then at least 4 orders were refused as "key_answer_not_kept"
    And no order ran twice and none ran that was told "not-run"

  Scenario: Repeats draw on the retries of their key
    When 5 orders with home keys are sent
    And the orders have been answered
    And the same orders are sent again
    And the orders have been answered
    And the same orders are sent again
    And the orders have been answered
    Then all orders were answered and ran once
    When the same orders are sent again
    And the orders have been answered
    Then at least 5 orders were refused as "retry_allowance"
    And at least 5 orders were told "may-have-run"

  Scenario Outline: A streamed order that is cut
    Guards against "may have run" for an order that its upstream never saw.
    When a caller sends <sent> of 1000000 bytes of an order with a home key and leaves
    And the same order is sent again whole
    And the orders have been answered
    Then at least 1 orders were told "<verdict>"
    And the order ran <runs> times

    Examples:
      | sent   | verdict      | runs |
      | 0      | not-run      | 0    |
      | 200000 | may-have-run | 1    |

  Scenario: A repeat of a streamed order must have the same body
    When 4 orders with home keys are sent with 300000 bytes of "a"
    And the orders have been answered
    And the same orders are sent again with 300000 bytes of "a"
    And the orders have been answered
    Then all orders were answered and ran once
    When the same orders are sent again with 300000 bytes of "b"
    And the orders have been answered
    Then at least 4 orders were refused as "bad_request"
    And no order ran twice and none ran that was told "not-run"

  Scenario Outline: The upstream ends a kept connection after its work
    Guards against the HTTP client, which repeats PUT and DELETE by itself.
    When 10 orders with home keys are sent
    And the orders have been answered
    And the upstreams lose their answers
    And an order is sent by <method>
    And the orders have been answered
    Then at least 1 orders were told "may-have-run"
    And no order ran twice and none ran that was told "not-run"

    Examples:
      | method |
      | PUT    |
      | DELETE |
      | POST   |
