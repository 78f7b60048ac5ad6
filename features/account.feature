Feature: Operators can say afterwards what the system did and why (P10)

  Scenario: The account agrees with callers and upstreams after a planned stop
    Guards against decisions that are counted twice, not at all, or lost in
    the last report of a node that stops.
    Given a system that reports every 0.3 s
    When upstream "b" sheds load
    And 60 customers browse, 10 order and 7 ask for an unknown service
    And all nodes are stopped as planned
    And an operator asks for the account of the last "10m"
    Then the account agrees with what the callers were told
    And the account agrees with what the upstreams ran
    And the account's section "unknown" says "Nothing is missing"
    And the account's section "upstreams" says "a (catalogue) left as planned"
    And the account's text says "requests of browsing customers"

  Scenario: The account is whole after an outage of the object store
    Given a system that reports every 0.3 s
    When 20 customers browse, 5 order and 3 ask for an unknown service
    And the platform goes out
    And 20 customers browse, 5 order and 3 ask for an unknown service
    And the nodes have noticed the outage
    And the platform comes back
    And no node holds reports
    And all nodes are stopped as planned
    And an operator asks for the account of the last "10m"
    Then the account agrees with what the callers were told
    And the account agrees with what the upstreams ran
    And the account's section "unknown" says "The object store, which keeps the reports, did not answer"

  Scenario: Lost reports are told
    Guards against an account that looks whole when it is not.
    Given a system that reports every 0.1 s and holds 2 reports
    When 20 customers browse, 5 order and 3 ask for an unknown service
    And the platform goes out
    And the nodes have lost reports
    And the platform comes back
    And no node holds reports
    And the alert "batches-dropped" is in the table
    And an operator asks for the account of the last "10m"
    Then the account misses as many reports as the nodes lost
    And the account's section "unknown" says "because the node could not hold more"
    And the account's section "alerts" says "has lost reports"

  Scenario: A node that dies leaves a sentence about what is not known
    Given a system that reports every 0.3 s
    When 20 customers browse, 5 order and 3 ask for an unknown service
    And node "front" has written a report
    And node "front" is killed
    And an operator asks for the account until it says "did not say that it stopped"
    Then the account's section "unknown" says "Node front sent its last report"

  Scenario: A node that dies before its first report is named
    Given a system that reports every 60 s
    When node "front" is killed
    And all nodes are stopped as planned once they know that "front" is dead
    And an operator asks for the account of the last "10m"
    Then the account's section "unknown" says "Node front went silent and no report of it was found"

  Scenario: The account of one ticket covers its own decisions only
    Given a system that reports every 0.3 s
    When 20 customers browse, 5 order and 3 ask for an unknown service
    And an operator files a ticket that makes browsing of "catalogue" a download
    And 30 customers browse, 0 order and 0 ask for an unknown service
    And all nodes are stopped as planned
    And an operator asks for the account of ticket 1
    Then the account tells 30 of class "download" as served and nothing else
    And the account's section "upstreams" says "ticket 1 came into force"

  Scenario: Numbers become sentences for a reader with no technical background
    Given the counts
      | count | root | rule          | verdict      | class    | service   | ticket |
      | 1200  | yes  | admitted      | answered     | browsing | catalogue | 3      |
      | 1     | yes  | admitted      | answered     | order    | orders    | 3      |
      | 40    | yes  | early_refusal | not-run      | browsing | catalogue | 3      |
      | 2     | yes  | connection_lost | may-have-run | order  | orders    | 0      |
      | 3     | yes  | retried       | not-run      | browsing | catalogue | 3      |
      | 5     | no   | level         | not-run      | browsing | inventory | 3      |
    When the report is built
    Then it says
      """
      1,201 requests of customers were served whole: 1 order or booking and 1,200 requests of browsing customers.
      2 orders or bookings to orders got no answer and may or may not have run, because the connection to the copy of the service broke (rule connection_lost, the built-in policy).
      40 requests of browsing customers to catalogue were turned away and did not run, because every copy of the service was known to be too busy for requests of this importance (rule early_refusal, ticket 3).
      3 calls were tried once more: 3 for customers directly, 0 between services.
      5 calls to inventory were turned away and did not run, because the service was busy and more important requests came first (rule level, ticket 3).
      No reports at all were found for this time.
      """
