Feature: Upstreams of a service are loaded evenly

  Many nodes choose at the same moment, from reports that are somewhat old. The
  deployments below are played without a network; "former" is the choice of two
  random upstreams by their last report.

  Scenario Outline: Callers wait less than with the former choice
    Guards against upstreams that are overloaded in turn while others have free
    slots, and against more messages or more calls to other data centres.
    Given <nodes> nodes that call <upstreams> upstreams of <slots> slots and speeds "<speeds>"
    And calls of <call_ms> ms that demand <load> of the capacity, with reports noted every <interval_ms> ms
    When the choice of the product and the former one are played
    Then the calls wait less than with the former choice, on average and at 99 in 100
    And the busiest upstream is no more loaded, or hardly more than the mean
    And fewer calls wait while another upstream has a free slot
    And no more calls go to other data centres
    And each call takes 2 messages

    Examples: Services of the two deployments
      | nodes | upstreams | slots | speeds           | call_ms | load | interval_ms |
      | 5     | 13        | 13    | 0.5, 1, 1, 1.5   | 19      | 0.85 | 0           |
      | 62    | 13        | 13    | 0.5, 1, 1, 1.5   | 19      | 0.85 | 0           |
      | 10    | 5         | 45    | 0.55, 1.2, 1.2, 1.2 | 35   | 0.85 | 0           |
      | 62    | 18        | 69    | 0.7, 0.7, 1.6    | 300     | 0.75 | 0           |

    Examples: Earlier deployments
      | nodes | upstreams | slots | speeds | call_ms | load | interval_ms |
      | 13    | 3         | 25    | 1      | 19      | 0.8  | 0           |
      | 13    | 9         | 12    | 1      | 40      | 0.85 | 0           |
      | 195   | 90        | 8     | 1      | 19      | 0.7  | 0           |

    Examples: Old reports
      | nodes | upstreams | slots | speeds         | call_ms | load | interval_ms |
      | 5     | 13        | 13    | 0.5, 1, 1, 1.5 | 19      | 0.85 | 100         |
      | 5     | 13        | 13    | 1              | 19      | 0.85 | 500         |

  Scenario: Alternatives that need more messages are not used
    Guards against a choice whose even load is paid for by messages.
    Given 62 nodes that call 13 upstreams of 13 slots and speeds "0.5, 1, 1, 1.5"
    And calls of 19 ms that demand 0.85 of the capacity, with reports noted every 0 ms
    When all alternatives are played
    Then returned calls and calls that upstreams ask for take more than 2 messages
    And calls wait less than with a probability in proportion to free capacity

  Scenario: A mean load is not taken for that of an upstream with a new report
    Guards against an estimate that ignores what was just reported.
    Given two upstreams of 10 slots, "a" reported 8 calls and "b" none at time 10
    Then at time 10.0 "b" is chosen
    And the estimate for "a" at time 10.0 is 8 calls and at time 20.0 about the mean

  Scenario: The calls of a node are not counted twice
    Guards against a node that avoids an upstream because of its own calls.
    Given an upstream of 10 slots with 6 calls of this node
    When it reports 7 calls
    Then 1 call of other nodes is expected there

  Scenario: At equal load the faster upstream is chosen
    Guards against calls that take longer than they need to.
    Given two upstreams of 10 slots that work 10 ms and 30 ms on a call
    Then a call goes to the first one
    When 5 calls are outstanding at the first one
    Then a call goes to the second one

  Scenario: The speed of an upstream is forgotten when it starts anew
    Guards against an upstream that is avoided for what its machine or its
    former process did.
    Given two upstreams of 10 slots that work 10 ms and 30 ms on a call
    When the second one starts anew
    Then both are thought to be equally fast
    When the second one works 10 ms on a call
    Then the first one is not thought to be faster

  Scenario: Speeds are compared by route
    Guards against an upstream that seems slow because it gets the long calls.
    Given two upstreams that work 10 ms on a call of "/short" and 90 ms on one of "/long"
    When one reports the long calls more often than the other
    Then both are thought to be equally fast

  Scenario: Only the own work of an upstream counts for its speed
    Guards against a slow upstream that is avoided although its calls spend
    most of their time in nested calls.
    Given two upstreams of 10 slots that work 10 ms and 30 ms on a call
    When calls take 200 ms with their nested calls
    And both report their times again
    Then a call at the second one is expected to take 1.1 times as long

  Scenario: A node reports the speed of the upstream beside it
    Guards against times of single calls that are taken for a speed.
    Given an admission whose calls take 20 ms
    When 4 calls have ended
    Then its report names no time
    When 20 calls have ended
    Then its report names about 20 ms
    When the upstream starts anew
    Then its report names no time and another start

  Scenario: Nodes of earlier versions understand the reports, and their reports are valid
    Guards against nodes of two versions that close their connections.
    Given a load report with a time and a start
    Then a message carries the report unchanged
    And a node of an earlier version reads the rest of it
    And a report without a time and a start is valid
    But a report with a time that is no time is not

  Scenario: An upstream that was full does not get all missed calls at once
    Guards against nodes that send their calls to one upstream, all together,
    because it had its last turn long ago.
    Given three upstreams of 10 slots of which "c" is full for 100 calls
    When "c" has free slots again
    Then at most 5 of the next 6 calls go to "c"

  Scenario: Operators see how even the known load is
    Guards against uneven load that nobody notices.
    Given two upstreams of 10 slots, "a" reported 8 calls and "b" none at time 10
    Then the gauge of the spread is 2.0 at time 10.1
    And the gauge of the spread is 1.0 at time 15.0
