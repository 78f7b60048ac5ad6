Feature: Limits over all nodes hold whatever the nodes believe of each other

  The nodes of these scenarios run the limits on a virtual clock, without
  sockets. Tokens created in a window of w seconds are at most rate x w +
  burst + 12; those held by nodes at its start add rate x 0.5.

  Scenario Outline: An organisation inside its limit is not refused
    Guards against shares of a limit that stay where they are not needed, and
    against tokens requested in advance that expire unused.
    Given <sizes> nodes and a limit of <rate> requests a second and a burst of <burst>
    When clients send 0.62 of the limit to <nodes> nodes for <span> s
    Then fewer than 1 in 100 requests were refused

    Examples:
      | sizes    | rate | burst | nodes | span |
      | 5,5,5    | 5    | 2     | all   | 200  |
      | 5,5,5    | 5    | 2     | 2     | 200  |
      | 5,5,5    | 60   | 30    | 1     | 60   |
      | 20,21,21 | 60   | 30    | all   | 10   |
      | 5,5      | 200  | 20    | all   | 20   |
      | 5,5      | 200  | 20    | 2     | 20   |

  Scenario Outline: An organisation that sends four times its limit gets it
    Guards against tokens that are granted to requests that no longer wait.
    Given <sizes> nodes and a limit of <rate> requests a second and a burst of <burst>
    When clients send 4 of the limit to <nodes> nodes for <span> s
    Then at least 0.9 of the limit ran, and no window exceeds the bound

    Examples:
      | sizes    | rate | burst | nodes | span |
      | 5,5,5    | 5    | 5     | all   | 30   |
      | 5,5,5    | 5    | 5     | 2     | 30   |
      | 20,21,21 | 60   | 30    | all   | 10   |
      | 5,5,5    | 200  | 5     | 1     | 10   |

  Scenario Outline: Each failure leaves the bound in force
    Guards against a second home that creates what another one creates, and
    against homes that never create tokens again.
    Given 5,5,5 nodes and a limit of 60 requests a second and a burst of 30
    When clients send 4 of the limit for 20 s while <failure>
    Then no window exceeds the bound, and no data centre ever had two homes
    And at least 0.9 of the limit ran in the last 5 s

    Examples:
      | failure                                         |
      | the first home is killed                        |
      | the first home is killed and restarted          |
      | the first home is cut off for 8 s               |
      | the first home is restarted and cut off for 8 s |
      | the first two homes lose each other for 8 s     |
      | the first home is frozen for 4 s                |
      | a data centre is cut off for 8 s                |
      | a data centre is cut in two for 8 s             |
      | all nodes are killed and restarted              |

  Scenario Outline: Nodes that start behind a cut are no majority of those that they do not know
    Guards against a second home, of nodes that count only those that they
    have reached since their start.
    Given <sizes> nodes and a limit of 150 requests a second and a burst of 30
    When clients send 3 of the limit for 20 s while <failure>
    Then no window exceeds the bound, and no data centre ever had two homes
    And at least 0.9 of the limit ran in the last 5 s

    Examples:
      | sizes | failure                                                       |
      | 5     | two nodes are restarted behind a cut for 8 s                  |
      | 5     | two nodes are restarted behind a cut, the store away, for 8 s |
      | 5     | one node is restarted behind a cut for 8 s                    |
      | 5     | one of two nodes behind a cut is restarted for 12 s           |
      | 5,5,5 | two nodes are restarted behind a cut for 8 s                  |

  Scenario: Dead nodes of earlier days do not outvote the live ones
    Guards against a restarted node that learns from others of many nodes
    that died before it, and counts them.
    Given 5 nodes and a limit of 60 requests a second and a burst of 30
    And each node has records of 8 dead nodes that the store does not list
    When the first home is restarted, and a minute passes
    And clients send 3 of the limit for 20 s
    Then at least 0.9 of the limit ran, and no window exceeds the bound
    And the first home creates tokens

  Scenario: Nodes that are gone for good do not outvote those that are left
    Guards against rows of instances that are gone, which would count as lost
    nodes for ever.
    Given 5 nodes and a limit of 60 requests a second and a burst of 30
    When two nodes are gone and the others are restarted
    And clients send 3 of the limit for 40 s
    Then at least 0.9 of the limit ran, and no window exceeds the bound

  Scenario: The worst order of events stays within the bound
    Guards against a bound that was only ever tried with empty stocks. All
    stocks are full and first nodes hold tokens when the demand rises to the
    tenfold, and the first home of each data centre is cut off with clients.
    Given 5,5,5 nodes and a limit of 60 requests a second and a burst of 60
    When clients send 0.9 of the limit for 10 s
    And the first home of each data centre is cut off for 6 s
    And clients send 10 of the limit for 8 s
    Then no window exceeds the bound, and no data centre ever had two homes

  Scenario Outline: Many failures at once leave the bound in force
    Guards against failures that coincide, while some requests are refused as
    not run and give their tokens back.
    Given 5,5,4 nodes and a limit of <rate> requests a second and a burst of <burst>
    When seed <seed> plays 60 s of waves and failures
    Then no window exceeds the bound, and no data centre ever had two homes

    Examples:
      | rate | burst | seed |
      | 10   | 5     | 1    |
      | 60   | 50    | 2    |
      | 120  | 200   | 3    |
      | 60   | 5     | 4    |

  Scenario Outline: A burst is granted once although the home leaves in order
    Guards against the next home that starts with a full stock, after the one
    before it has handed out its own.
    Given <sizes> nodes and a limit of <rate> requests a second and a burst of <burst>
    When clients send 6 of the limit for 14 s while <failure>
    Then no window exceeds the bound, and no data centre ever had two homes
    And at least 0.9 of the limit ran in the last 5 s

    Examples:
      | sizes | rate | burst | failure                       |
      | 4     | 50   | 150   | the first home leaves         |
      | 4     | 50   | 150   | the first home restarts       |
      | 5,5,5 | 60   | 200   | the first home leaves         |
      | 5     | 50   | 150   | the first two homes leave     |

  Scenario Outline: What a home that leaves in order has left is not lost
    Guards against refusals of an organisation inside its limit, since the
    next home starts with an empty stock.
    Given <sizes> nodes and a limit of 50 requests a second and a burst of 150
    When clients send 0.5 of the limit for 2 s
    And the first home leaves, and <wait> s later clients send 4 of the limit for 1 s
    Then fewer than 1 in 20 requests were refused
    And no window exceeds the bound, and no data centre ever had two homes

    Examples:
      | sizes | wait |
      | 4     | 0.2  |
      | 4     | 1.3  |
      | 5,5,4 | 1.3  |

  Scenario: A burst is granted once to an organisation that is put back
    Guards against a full stock of an organisation that was out of the policy
    for a moment.
    Given 4 nodes and a limit of 50 requests a second and a burst of 150
    When clients send 6 of the limit for 2 s
    And the organisation is taken out of the policy and put back after 0.5 s
    And clients send 6 of the limit for 4 s
    Then no window exceeds the bound, and no data centre ever had two homes

  Scenario: A killed home is hardly noticed inside the limit
    Guards against refusals while the next node takes over.
    Given 5,5,5 nodes and a limit of 60 requests a second and a burst of 30
    When clients send 0.62 of the limit for 20 s while the first home is killed
    Then fewer than 1 in 100 requests were refused

  Scenario: A lower limit is binding one window after it is in force
    Guards against tokens that were saved up under the old limit.
    Given 5,5,5 nodes and a limit of 200 requests a second and a burst of 100
    When clients send 4 of the limit for 6 s
    And the limit is lowered to 10 requests a second and a burst of 5
    And clients send 80 of the limit for 12 s
    Then no window that begins 5 s later exceeds the bound

  Scenario: A data centre that seems dead keeps its share
    Guards against settings without data centres in which the others take over
    the share of one that is cut off and still creates tokens.
    Given nodes of "dc0,dc1,dc2" and settings without data centres
    When all nodes of "dc2" are found dead
    Then each data centre creates one of 3 shares

  Scenario: Tokens of a request that did not run expire when they would have
    Guards against tokens that live longer because they were given back.
    Given a node holds 2 tokens until second 0.5
    When it takes one at second 0.1 and gives it back at second 0.3
    Then it holds 2 tokens at second 0.4
    And it can take none at second 0.6

  Scenario: Tokens that a node holds expire
    Guards against tokens that add to those of a later window.
    Given 3,3 nodes and a limit of 200 requests a second and a burst of 50
    When clients send 0.62 of the limit for 5 s
    Then nodes hold tokens
    And no node holds a token after 0.5 s

  Scenario: State is kept for active organisations only
    Guards against memory that grows with every organisation ever seen.
    Given 3,3 nodes and a limit of 60 requests a second and a burst of 30
    When each of 500 organisations sends one request
    Then the nodes hold state of organisations
    When clients send 0 of the limit for 60 s
    Then the nodes hold no state of organisations

  Scenario: Homes create tokens as soon as the first limit is in force
    Guards against refusals of the first requests under a new policy.
    Given 3,3 nodes and no organisation
    When a limit of 60 requests a second and a burst of 30 is set
    And clients send 0.62 of the limit for 5 s
    Then fewer than 1 in 100 requests were refused

  Scenario: Nodes without limits send no message
    Guards against costs for policies without organisations.
    Given 3,3 nodes and no organisation
    When clients send 0 of the limit for 10 s
    Then no message was sent
