Feature: What fails overnight does not go unnoticed until morning (P10)

  Scenario: An alert that could not be posted is tried again and kept
    Guards against an alert that is lost because the webhook or the platform
    was out at that moment.
    Given a webhook that answers with status 500
    And a system that reports every 0.1 s
    When the platform goes out
    And the nodes have noticed the outage
    And the webhook has refused 2 posts of "objects-out"
    And the webhook has refused 2 posts of "table-out"
    And the platform comes back
    And the webhook answers with status 204
    Then the webhook has taken the alert "objects-out" once
    And the webhook has taken the alert "table-out" once
    And no node has alerts on their way
    And the morning report names "The object store does not answer in data centre dc1."

  Scenario: An alert that another node has just stored is left to that node
    Guards against two posts of an alert after an outage of the platform, as
    the attempts during the outage counted as a wait for the other node.
    Given an alert of node "b" that could not be stored in 9 attempts
    When node "a" has stored the same alert
    Then node "b" does not post it in 5 more attempts
    And node "b" posts it in the next one

  Scenario: A node that was halted leaves an alert to the node that has posted it
    Guards against two posts of an alert, by a node that stored it and was
    halted, and by the one that took it over.
    Given an alert of node "b" that it has stored itself
    When node "b" is halted for 60 s before its post, and node "a" posts it
    Then node "b" does not post it in 2 more attempts

  Scenario: Refused orders raise an alert that stays until it is acknowledged
    Given a webhook that answers with status 204
    And a system that reports every 0.1 s
    When orders are refused by node "front" until the webhook has "orders-refused"
    Then the webhook has taken the alert "orders-refused" once
    And the post names instance "front" and what to do
    And the command alert list names "orders-refused" as open
    And the morning report names "Node front has refused orders or bookings"
    When an operator acknowledges the alert "orders-refused"
    Then the command alert list names no alert
    And the morning report names "No alert is open."

  Scenario: An alert without a webhook stays in the report
    Given a system that reports every 0.1 s
    When the platform goes out
    And the nodes have noticed the outage
    And the platform comes back
    And the alert "objects-out" is in the table
    Then the morning report names "It has not reached the webhook."

  Scenario: A dead member is told once and stands in the account
    Given a webhook that answers with status 204
    And a system that reports every 0.3 s
    When node "b" is killed
    Then the webhook has taken the alert "member-dead" once
    And the morning report names "Instance b does not answer any more."
    When an operator asks for the account until it says "b (catalogue) went silent"
    Then the account's section "upstreams" says "b (catalogue) went silent"

  Scenario: Orders must be refused for the whole time, not now and then
    Given orders are watched with a limit of 60 s
    When orders are refused at 0, 1, 30, 55 s
    Then no alert about orders is due
    When orders are refused at 58, 61, 64, 67, 70, 73, 76, 79, 82, 85, 88 s
    Then no alert about orders is due
    When orders are refused at 91, 94, 97, 100, 103, 106, 109, 112, 115, 118 s
    Then an alert about orders is due once

  Scenario: Two nodes of each data centre speak for it
    Guards against 1,200 posts about one outage, and against none.
    Given members
      | instance | data centre | state   |
      | a        | dc1         | dead    |
      | b        | dc1         | taking  |
      | c        | dc1         | joining |
      | d        | dc1         | taking  |
      | e        | dc2         | dead    |
      | f        | dc2         | dead    |
      | g        | dc3         | dead    |
      | h        | dc3         | taking  |
      | i        | dc4         | left    |
    Then "b, c" speak for "dc1"
    And "dc2" counts as out of reach for "dc1"
