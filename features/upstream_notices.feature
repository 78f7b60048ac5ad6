Feature: What upstreams say about themselves in their answers

  Scenario Outline: An upstream gets no more than the rate that it names
    Guards against a limit that is kept by each node alone, or forgotten with
    a restart, so that all nodes together send more than the upstream takes.
    Given an upstream that names <rate> requests a second after 5 s
    When seed <seed> plays 40 s of twice to four times that rate from <callers> callers, for calls of <least> s or more, with restarts and cuts
    Then no 4 s from 3 s after the naming hold more than 1.5 times the rate and 5 requests
    And at least 0.9 of the rate was used while nothing was restarted

    Examples:
      | rate | seed | callers | least |
      | 0.6  | 1    | 12      | 0.05  |
      | 3    | 2    | 1       | 0.2   |
      | 3    | 3    | 12      | 0.2   |
      | 12.5 | 4    | 4       | 0.05  |
      | 12.5 | 5    | 12      | 0.9   |
      | 22   | 6    | 12      | 0.9   |
      | 60   | 7    | 40      | 0.5   |
      | 60   | 8    | 40      | 0.05  |

  Scenario Outline: A header with a limit that is no rate sets no limit
    Guards against a failed request, or a blocked upstream, by one bad header.
    When an answer names the limit "<value>"
    Then its rate is <rate>

    Examples:
      | value | rate |
      | 10.5  | 10.5 |
      | 0     | 0.0  |
      | 1e3   | 1000.0 |
      | nan   | None |
      | inf   | None |
      | -1    | None |
      | many  | None |
      |       | None |

  Scenario: A limit of zero does not block an upstream for good
    Guards against an upstream that can never say that its need has ended.
    Given a rate limit of 0.0 named at 0.0 s
    Then a request may start again within 4 s
    When an answer names no limit at 3.0 s
    Then a request may start again within 0 s

  Scenario: A limit ends only when the upstream names none for a while
    Guards against a limit that one faulty answer without the header lifts.
    Given a rate limit of 2.0 named at 0.0 s
    When an answer names no limit at 0.5 s
    Then the limit is 2.0
    When an answer names no limit at 1.1 s
    Then the limit is None

  Scenario: The nodes of a deployment keep the limit of a back end
    Guards against a limit that its own node reads and others exceed, and
    against one that a stop of that node resets.
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the recording instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"
    When the back end of "two" names "Server-Limit" as "10"
    And 60 requests a second for "/order/1?delay_ms=100" are sent to "one" and "two" for 4 s
    And the node of "two" is killed and started
    And 60 requests a second for "/order/1?delay_ms=100" are sent to "one" and "two" for 5 s
    Then the back end of "two" got at most 65 requests from "one" in any 4 s
    And requests that were not served were refused with 503
    And "two" logs "upstream_rate_limited"

  Scenario: An upstream that says in its answers that it leaves gets no new request
    Guards against requests that are sent until a heartbeat says the same, and
    after a restart of its node, which has not heard the answers.
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the recording instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"
    When the back end of "two" names "Server-Leaving" as "1"
    And a client of "one" sends POST "/order/1" as "one-told"
    Then it gets status 200
    And "two" logs "upstream_leaving"
    When a client of "one" sends POST "/order/2" as "one-after"
    Then it gets status 503
    When the node of "two" is killed and started
    And "two" logs 2 lines with "upstream_joined"
    And 40 requests a second for "/order/3" are sent to "one" and "one" for 1 s
    Then the back end of "two" got 1 request from "one"
    When the back end of "two" says "draining"
    And the back end of "two" names no header
    And the back end of "two" says "ready"
    Then "one" serves "/order/ready" again

  Scenario Outline: Heartbeats end the notice of an upstream that stays
    Guards against an upstream that is taken up again by a late heartbeat, or
    never again although it stays.
    Given an upstream with heartbeat 7 whose answer says that it leaves
    When its heartbeats say <heartbeats>
    Then the upstream is <state>

    Examples:
      | heartbeats                  | state   |
      | ready                       | leaving |
      | ready ready ready           | leaving |
      | ready ready ready ready     | staying |
      | draining                    | leaving |
      | draining ready              | staying |
      | draining draining           | leaving |

  Scenario: A caller that knows of an earlier notice does not end the stay
    Guards against an upstream that is taken out by news from before it stayed.
    Given an upstream with heartbeat 7 whose answer says that it leaves
    When its heartbeats say draining ready
    And a caller says that it leaves
    Then the upstream is staying
