Feature: Tickets come into force everywhere and never revert (P8)

  Scenario: Two operators who file at once never get the same number
    Guards against a ticket that replaces another unseen or is half applied.
    Given a ticket platform without nodes
    When two operators confirm their tickets at the same time in 8 rounds
    Then in each round one ticket won its number and the other was told who won
    And no scope of a losing ticket was written

  Scenario: A ticket is filed once when the table's answer is lost
    Guards against a ticket filed twice, or one reported as not filed.
    Given a ticket platform without nodes
    When the table loses the answer to a filing after the write
    Then the command ends with exit code 0
    And the ticket platform holds 1 ticket

  Scenario: A filing that never reached the table is called not filed
    Guards against a late copy of the write that takes effect after all.
    Given a ticket platform without nodes
    When the table loses a filing before the write
    Then the command ends with exit code 1
    And the command's errors contain "nothing was changed"
    And the ticket platform holds 0 tickets
    When an operator answers "yes" to the question about the example ticket
    Then the command ends with exit code 0
    And the ticket platform holds 1 ticket

  Scenario: An outcome that cannot be found out is called unknown
    Given a ticket platform without nodes
    When the table loses the answer to a filing and goes down
    Then the command ends with exit code 1
    And the command's errors contain "It is unknown whether ticket 1 is filed"

  Scenario: Tickets can be listed and shown, and an answer of no files nothing
    Given a ticket platform without nodes
    When an operator answers "no" to the question about the example ticket
    Then the command ends with exit code 1
    And the ticket platform holds 0 tickets
    When an operator answers "yes" to the question about the example ticket
    Then the command ends with exit code 0
    And the question named "all methods below /: deadline 8000 ms instead of deadline 5000 ms, 1 retry instead of 2 retries."
    And ticket 1 is listed and shown

  Scenario: A data centre that was cut off catches up by itself
    Guards against a ticket that stays unknown where it could not be sent.
    Given 2 ticket nodes in each of the data centres "dc1, dc2, dc3"
    When the data centre "dc3" is cut off from the platform and the others
    And an operator files a ticket on service "orders" with 7000 ms
    Then ticket status says in force in "dc1, dc2" and not yet in "dc3"
    When the data centre "dc3" is joined again
    Then the ticket is in force on all nodes
    And requests for "orders" carry the ticket on every node

  Scenario: A ticket that a slow table accepts comes into force
    Guards against nodes that give up sooner than the operator's command.
    Given 1 ticket nodes in each of the data centres "dc1, dc2"
    When the ticket platform answers after 2000 ms
    And an operator files a ticket on service "orders" with 7000 ms
    Then the ticket is in force on all nodes

  Scenario: Nodes that cannot be asked are named
    Given 1 ticket nodes in each of the data centres "dc1, dc2"
    When an operator files a ticket on service "orders" with 7000 ms
    Then the ticket is in force on all nodes
    When node "dc2-1" is killed
    Then ticket status names "dc2-1" as not asked and ends with exit code 0

  Scenario: A restarted node gets the policy from a peer while the platform is out
    Guards against a node that falls back to the built-in policy.
    Given 2 ticket nodes in each of the data centres "dc1"
    When an operator files a ticket on service "orders" with 7000 ms
    Then the ticket is in force on all nodes
    When the ticket platform goes down
    And node "dc1-2" is killed and started again
    Then the ticket is in force on all nodes

  Scenario: Nodes that start late load thousands of scopes
    Guards against scopes lost between the pages of a scan or two messages.
    Given a ticket platform without nodes
    And 60 tickets with 50 scopes each
    When a ticket node "early" starts
    Then node "early" holds all scopes of the tickets
    When the ticket platform goes down
    And a ticket node "late" starts
    Then node "late" holds all scopes of the tickets

  Scenario Outline: All nodes of one data centre are replaced
    Given 2 ticket nodes in each of the data centres "dc1, dc2"
    When an operator files a ticket on service "orders" with 7000 ms
    Then the ticket is in force on all nodes
    When the ticket platform goes <platform>
    And all nodes of data centre "dc2" are replaced by new ones
    Then the ticket is in force on all nodes

    Examples:
      | platform |
      | up       |
      | down     |

  Scenario: A late copy of an older state never reverts a newer one
    Given 1 ticket nodes in each of the data centres "dc1, dc2"
    When an operator files a ticket on service "orders" with 7000 ms
    And an operator files a ticket on service "orders" with 6000 ms
    Then the ticket is in force on all nodes
    When a peer sends the state of ticket 1 to every node again
    Then the ticket is in force on all nodes
    And requests for "orders" carry the ticket on every node

  Scenario: A wrong policy message ends its connection only
    Given 1 ticket nodes in each of the data centres "dc1"
    When a peer sends a policy message of an unknown kind
    Then its connection is closed and counted as a bad frame
    When an operator files a ticket on service "orders" with 7000 ms
    Then the ticket is in force on all nodes

  Scenario: An upstream that a ticket takes out gets no new work
    Guards against new work that reaches it from a node with older policy.
    Given 1 ticket nodes in each of the data centres "dc1, dc2"
    And each ticket node has an upstream of "orders"
    When an operator files a ticket that takes "dc2-1" out
    Then the ticket is in force on all nodes
    And 20 requests from each node run beside "dc1-1" only
    And "dc2-1" refuses a call of a peer as not run with rule "not_taking_work"
    When an operator files a ticket that takes "dc1-1" out
    Then the ticket is in force on all nodes
    And a request for "orders" is refused as not run under the ticket
