Feature: The log of a node on a platform says what it decided and believes

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: A store that is lost and regained is told once each
    Guards against an outage that nobody sees, or that floods the log.
    When the store has the faults "down"
    Then the log of "one" has 1 line of "store_lost" with "silent_s"
    When the store has no faults
    Then the log of "one" has 1 line of "store_regained" with "silent_s"
    And the log of "one" still has 1 line of "store_lost"

  Scenario: A store that returned from a copy is told once
    Guards against changes lost at the store that nobody can date.
    When the store returns from a copy that is 1.0 seconds old
    Then the log of "one" has 1 line of "store_restored" with "epoch"
    And the metrics of "one" hold "oleanderknot_store_epoch 2.0"

  Scenario: Refusals above the rate are counted and not written
    Guards against a surge that fills the log, and lines that nobody misses.
    When the settings of "one" change to 3 lines a second and it gets SIGHUP
    And the back end of "two" says "draining"
    And a client of "one" sends 60 requests to "/order/" that are refused
    Then the log of "one" has at most 3 lines about requests in each second
    And its lines and those left out make at least 60

  Scenario: A line about a refusal holds what decided it
    Guards against a refusal that can only be guessed at.
    When the back end of "two" says "draining"
    And a client of "one" sends POST "/order/1" as "k1"
    Then the line of "one" about "k1" has these fields
      | field    | value   |
      | route    | order   |
      | service  | orders  |
      | verdict  | not-run |
      | ticket   | 1       |
      | depth    | 0       |
      | attempts | []      |
    And the line of "one" about "k1" has "left_ms" and "trace"
    And the log of "two" has 1 line of "upstream_draining" with "sequence"
