Feature: Limits of organisations hold over all nodes

  Background:
    Given a platform with the routes
      | name | prefix | kind | service   |
      | page | /page/ | safe | catalogue |
    And the organisations with limits
      | name | key      | rate | burst |
      | vine | vine-key | 40   | 10    |
      | elm  | elm-key  | 40   | 10    |
      | oak  | oak-key  | 0    | 0     |
    And clients hold the key "oak-key"
    And the data centres "dc1,dc2" with these instances
      | name | data centre |
      | a1   | dc1         |
      | a2   | dc1         |
      | a3   | dc1         |
      | b1   | dc2         |
    And all instances serve "/page/1" and have settled

  Scenario: The sum over all nodes is bounded, and most of a limit can be used
    Guards against limits that hold for each node or data centre only, and
    against tokens that are lost between the nodes.
    When "vine" sends 160 requests a second to all nodes for 7 s
    Then in no 5 s more requests of "vine" ran than its limit allows
    And at least 0.9 of the limit of "vine" ran
    And each refusal of "vine" has status 429 and a time for another attempt

  Scenario Outline: An organisation inside its limit is not refused
    Guards against shares of a limit that stay at data centres or nodes which
    do not need them.
    When "elm" sends 25 requests a second to <nodes> for 7 s
    Then fewer than 1 in 100 requests of "elm" were refused

    Examples:
      | nodes     |
      | all nodes |
      | "b1"      |

  Scenario: The limit holds while a home is killed and the store is away
    Guards against a new home that starts with the tokens of the old one, and
    against limits that need the store.
    When the store has the faults
      | name | value |
      | down | 1     |
    And "vine" sends 160 requests a second and "elm" 20 for 10 s, and the home of "vine" in "dc1" is killed after 4 s
    Then in no 5 s more requests of "vine" ran than its limit allows
    And fewer than 1 in 100 requests of "elm" were refused
    And requests of "vine" ran in each of the last 3 s

  Scenario: A lower limit holds for tokens that were saved up before
    Guards against stocks that outlive the limit they were created under.
    When the limit of "vine" is lowered to a rate of 10 and a burst of 5
    And "vine" sends 160 requests a second to all nodes for 7 s
    Then in no 5 s more requests of "vine" ran than its limit allows

  Scenario: Organisations without a limit cost no messages
    Guards against messages for requests that nothing limits.
    When "oak" sends 160 requests a second to all nodes for 2 s
    Then fewer than 1 in 100 requests of "oak" were refused
    And the nodes have granted no tokens
