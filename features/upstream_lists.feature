Feature: Upstreams are chosen from lists that are kept between calls

  The choice from a kept list avoids work for each upstream and call. It must
  be the one that is made from candidates, which are built for each call.

  Scenario Outline: The choice from a kept list is that from candidates
    Guards against a list that is out of date and against another order, rank,
    cost or number of random draws than without a list.
    Given two nodes with the same knowledge of 13 upstreams and seed <seed>
    When 4000 calls are sent between random events, from a list by one of them
    Then both chose the same upstream for each call
    And both have drawn the same random numbers
    And each kind of state was met by at least 20 calls

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario Outline: A list is built anew after each kind of change
    Guards against calls to an upstream that must not receive any, and against
    upstreams that are left out for good.
    Given a node with a list of the upstreams "i1 i2 i3"
    Then the next call uses the same list
    When <change>
    Then the list has the upstreams "<upstreams>" and the suspects "<suspects>"
    And the next call uses the same list

    Examples:
      | change                                | upstreams   | suspects |
      | the members suspect i2                | i1 i3 i2    | i2       |
      | i2 leaves                             | i1 i3       |          |
      | i2 moves to another service           | i1 i3       |          |
      | the record of i2 is removed           | i1 i3       |          |
      | i4 joins                              | i1 i2 i3 i4 |          |
      | the policy gives i2 no work           | i1 i3       |          |
      | i2 cannot be reached                  | i1 i3       |          |
      | i2 could not be reached for one call  | i1 i2 i3    |          |
      | the load of i2 is discarded           | i1 i3 i2    |          |
      | i2 is overdue                         | i1 i2 i3    | i2       |

  Scenario Outline: Shares and levels are looked at as long as they count
    Guards against an upstream that still fails calls, or admits few, and is
    taken for any other.
    Given an upstream that failed <failures> calls and reported level <level> at time 100
    Then its share of failures is 0 when failures are no longer looked at
    And its level is 4 when levels are no longer looked at

    Examples:
      | failures | level |
      | 1        | 3.99  |
      | 5        | 2.0   |
      | 500      | 0.0   |

  Scenario: Nodes are asked about only while a probe is unanswered
    Guards against calls to a node that does not respond, since no monitor
    says that its nodes have to be asked about.
    Given a monitor of a connection that responded until 0 s
    Then it counts as unanswered at 0.7 s, but not at 0.3 s
    And not after a response at 0.8 s
    And not after the connection was closed with another unanswered probe
