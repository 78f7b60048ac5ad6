Feature: An operator asks where a request would go

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the organisations
      | name | keys     |
      | vine | vine-key |
    And the organisation "vine" may send 50 requests a second and 5 at once
    And clients hold the key "vine-key"
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: The answer names the choice and what it rests on
    Guards against an explanation that is not that of the decision.
    When an operator asks "one" where "/order/1" of "vine" would go
    Then the explanation has the lines
      | start                    | words                                   |
      | node one                 | policy version 1                        |
      | store: answers           | last answer                             |
      | route order              | runs at most once                       |
      | limit: 50 requests/s     | 5 at once, tokens, home                 |
      | service orders           | class browsing, priority number         |
      | two (dc1)                | limit, level, report                    |
      | -> two                   | expected to serve                       |
    And no key is in the explanation

  Scenario: A question changes nothing
    Guards against a question that runs, counts or uses what requests need.
    When an operator asks "one" 100 times where "/order/1" of "vine" would go
    Then nothing has run for it and no token is gone
    And the counters of "one" are the same as before

  Scenario Outline: A refusal names its rule
    Guards against a choice that no request would get.
    When an operator asks "one" where "<path>" of "<organisation>" would go
    Then the explanation has the lines
      | start             | words   |
      | refused (<rule>): | <words> |

    Examples:
      | path       | organisation | rule        | words     |
      | /nowhere/1 | vine         | no_route    | version 1 |
      | /order/1   | nobody       | unknown_key | the key   |

  Scenario: An upstream that leaves is not chosen
    Guards against an explanation from before the departure.
    When the back end of "two" says "draining"
    Then an operator who asks "one" about "/order/1" of "vine" soon hears of the rule "no_upstream"

  Scenario: The store is away
    Guards against a command that fails when it is needed most.
    When the store has the faults
      | name | value |
      | down | 1     |
    Then an operator who asks "one" about "/order/1" of "vine" soon hears that the store does not answer

  Scenario: Malformed questions are rejected by the command
    When an operator asks "one" where "order" of "vine" would go
    Then the command fails with code 2
