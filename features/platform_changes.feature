Feature: Heartbeats, policies and stops on a platform

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: An upstream that says that it drains gets no new request
    Guards against work sent after the heartbeat was acknowledged.
    When the back end of "two" says "draining"
    And a client of "one" sends POST "/order/1" as "a1"
    Then it gets status 503
    And "a1" ran nowhere
    When the back end of "two" says "ready"
    Then "one" serves "/order/ready" again

  Scenario Outline: A foreign or late heartbeat changes nothing
    Guards against an upstream taken out by what it did not say.
    When the back end of "two" sends a heartbeat with <field> <value>
    And a client of "one" sends POST "/order/1" as "b1"
    Then it gets status 200

    Examples:
      | field   | value                |
      | state   | draining&sequence=0  |
      | state   | draining&born=1      |
      | service | other&state=draining |
      | state   | unheard              |
      | slots   | many                 |
      | address | 127.0.9.9:1          |

  Scenario: A policy that is not valid leaves the last one in force
    Guards against routes lost to a document that cannot be read.
    When the operator's document is "{"
    And a client of "one" sends GET "/page/1" as "c1"
    Then it gets status 200

  Scenario: A new version is in force at both nodes and never goes back
    When the route "extra" with prefix "/extra/" for "orders" is added
    Then "one" serves "/extra/1" again
    And "two" serves "/extra/1" again
    When the operator's document is an older version without routes
    And a client of "one" sends GET "/extra/1" as "d1"
    Then it gets status 200

  Scenario: The store forgets its history and changes are still heard
    Guards against a feed that waits for ever after its place was dropped.
    When the store forgets its history
    And the route "extra" with prefix "/extra/" for "orders" is added
    Then "one" serves "/extra/1" again

  Scenario: A change is in force in time although all polls were lost
    Guards against a change that no node hears of until the time-out of its
    poll, because all polls began together and all connections went silent.
    When the route "extra" with prefix "/extra/" for "orders" is added
    Then "one" serves "/extra/1" again
    When the store never answers the polls in progress
    And 3.0 seconds pass
    And the route "late" with prefix "/late/" for "orders" is added
    Then "one" serves "/late/1" within 2 seconds
    And "two" serves "/late/2" within 2 seconds

  Scenario: A node that starts while the store is away learns from its peers
    Guards against a node that answers 404, or nothing, until the store is back.
    When the store has the faults "silent"
    And the node of "one" is killed and started
    Then the node of "one" answers 503 and never 404 until it is ready

  Scenario: Calls do not wait for a node that cannot be reached
    Guards against a partition in which each call waits for an attempt to
    connect that must fail, and its client is told too late.
    When the node of "two" is paused
    And a client of "one" sends "/order/" for 3.5 seconds
    Then after 2.0 seconds each one was refused with 503 within 0.3 seconds
    And "one" logs "peer_lost"
    When the node of "two" goes on
    Then "one" serves "/order/again" again
    And "one" logs "peer_regained"

  Scenario: Nodes that were killed while the store is away are found again
    Guards against a restarted node that its peers take for dead until the
    store is back.
    Given the instance "three" with a back end of "orders"
    And "three" serves "/order/ready" and "/page/ready"
    When the store has the faults "silent"
    And the nodes "one" and "two" are killed and started
    And "one" and "two" have started again
    Then "three" serves "/page/1" within 6 seconds
    And "one" serves "/order/2" within 6 seconds

  Scenario: A node whose clock was set back is believed after a restart
    Guards against a node that the others hold for dead, since its records
    seem to be older than those of its earlier process.
    When the node of "two" is killed
    And "one" logs that "two" is dead
    And the node of "two" is started with a clock 3600 s behind
    Then "one" serves "/order/again" again
    And "two" logs "incarnation_raised"

  Scenario Outline: Calls pass between nodes whose times of day differ
    Guards against a deadline that is compared with the time of day of another
    machine, so that each call seems to arrive too late.
    When the node of "two" is killed
    And the node of "two" is started with a clock <shift> s ahead
    Then "one" serves "/order/again" again
    And "two" serves "/page/again" again

    Examples:
      | shift |
      | 20    |
      | -20   |

  Scenario: A node that was told to stop finishes its requests
    Guards against a payment cut off by planned work.
    When a client of "two" sends POST "/order/1?delay_ms=1500" as "f1" and waits
    And the node of "two" gets SIGTERM
    Then readiness of "two" is refused
    And the waiting client gets status 200
    And the node of "two" exits with status 0

  Scenario: A node that is told to stop under load answers all it has taken
    Guards against requests that are taken until the process ends, and cut.
    When clients of "two" send GET "/page/1?delay_ms=700" on new connections all the time
    And the node of "two" gets SIGTERM
    Then the node of "two" exits with status 0
    And every request that a back end ran was answered to its client
    And the log of "two" holds JSON lines only

  Scenario: A node whose settings have changed goes on serving
    Guards against a signal that ends the process.
    When a client of "two" sends POST "/order/1?delay_ms=700" as "g1" and waits
    And the settings of "two" change to 3 lines a second and it gets SIGHUP
    Then the waiting client gets status 200
    And "two" logs "reloaded"

  Scenario: A node that is starting reloads its settings on a signal
    Guards against a signal that ends the process before it is handled.
    When the node of "two" is killed and gets SIGHUP while it starts
    Then "one" serves "/order/again" again
    And "two" logs "reloaded"

  Scenario: A node that is starting stops as planned on a signal
    Guards against a stop that cuts the requests that were just accepted.
    When the node of "two" is killed and gets SIGTERM while it starts
    Then the node of "two" exits with status 0

  Scenario: Metrics are served as text
    Guards against a scrape that finds nothing when a user complains.
    When a client of "one" sends GET "/page/1" as "h1"
    Then the metrics of "one" hold "oleanderknot_decisions_total"
    And the metrics of "one" hold "oleanderknot_request_seconds_bucket"
    And the metrics of "one" hold "oleanderknot_upstream_seconds_bucket"
    And the metrics of "one" hold "oleanderknot_queue_seconds_bucket"
    And the metrics of "one" hold "oleanderknot_store_seconds_bucket{call="
    And the metrics of "one" hold "oleanderknot_nodes_taking 2.0"
    And the metrics of "one" hold "oleanderknot_nodes_lost 0.0"
    And the metrics of "one" hold "oleanderknot_repeats_left"
    And the metrics of "one" hold "oleanderknot_policy_version 1.0"

  Scenario: A refused request is found in the log by its id
    Guards against a refusal that nobody can explain.
    When the back end of "two" says "draining"
    And a client of "one" sends POST "/order/1" as "k1"
    Then "one" logs "k1"
    And "two" logs "upstream_draining"

  Scenario: A slack of repeats that is no whole number is accepted
    Guards against a node that does not start because a bound of its settings
    has a fraction.
    Given the instance "three" with a back end of "orders" and a slack of 20.196
    Then "three" serves "/page/1" again
