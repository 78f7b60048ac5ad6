Feature: Ticket files are checked before anything is filed

  Scenario: All mistakes of a ticket file are named at once
    Guards against an operator who has to search for mistakes one by one.
    Given a ticket file
      """
      reason: ''
      scopes:
        global:
          retry_ratio: 3
        service/orders:
          routes:
            - method: POST
              prefix: orders
              class: urgent
              idempotent: "no"
              deadline_ms: 0
              retry: 1
        service/Orders:
          routes: []
        upstream/orders-1:
          taking_work: maybe
        upstream/orders-1:
          taking_work: true
      """
    When the operator files it
    Then the command ends with exit code 2
    And the command names these mistakes
      | line | field                                     | found             | allowed                               |
      | 1    | author                                    | nothing           | a name                                |
      | 1    | reason                                    | ''                | a text                                |
      | 3    | scopes.global.retry_minimum               | nothing           | a whole number from 0 to 1000         |
      | 4    | scopes.global.retry_ratio                 | 3                 | a share from 0 to 1                   |
      | 7    | scopes.service/orders.routes.0.retries    | nothing           | a whole number from 0 to 10           |
      | 8    | scopes.service/orders.routes.0.prefix     | 'orders'          | a path that starts with /             |
      | 9    | scopes.service/orders.routes.0.class      | 'urgent'          | order, browsing, download or internal |
      | 10   | scopes.service/orders.routes.0.idempotent | 'no'              | true if a second run does no harm     |
      | 11   | scopes.service/orders.routes.0.deadline_ms | 0                | a whole number of milliseconds from 1 |
      | 12   | scopes.service/orders.routes.0.retry      | an unknown field  | method, prefix, class                 |
      | 13   | scopes.service/Orders                     | an unknown scope  | service/<name>                        |
      | 16   | scopes.upstream/orders-1.taking_work      | 'maybe'           | true or false                         |
      | 17   | scopes.upstream/orders-1                  | a duplicate key   | each key only once                    |

  Scenario Outline: What is no ticket at all is named with its line
    Given a ticket file
      """
      <text>
      """
    When the operator files it
    Then the command ends with exit code 2
    And the command's errors contain "<message>"

    Examples:
      | text                            | message                                      |
      | author: [                       | valid YAML                                   |
      | - author                        | a mapping with author, reason, scopes        |
      | {author: &a x, reason: *a}      | an alias                                     |
      | {scopes: [global]}              | a mapping of 1 to 50 scopes                  |
      | {scopes: {global: 1}}           | a mapping with retry_ratio, retry_minimum    |

  Scenario: A ticket file that does not exist
    When the operator files "no-such-file.yaml"
    Then the command ends with exit code 2
    And the command's errors contain "No such file"

  Scenario: A ticket passes through its table rows and the wire unchanged
    Given the ticket of the example file
    Then its rows hold the same ticket and scopes
    And its scopes pass between nodes unchanged

  Scenario Outline: A malformed policy message ends its connection
    Guards against policy that no ticket file would be let through with.
    Then a scope message with <field> <value> is a bad frame

    Examples:
      | field  | value                    |
      | scope  | service/UPPER            |
      | scope  | none                     |
      | number | 0                        |
      | number | 1000000000000            |
      | state  | [                        |
      | state  | {"taking_work": 1}       |
      | state  | {"routes": []}           |

  Scenario: States in any order never revert and give equal digests
    Guards against policy that depends on the order of messages.
    Given 40 tickets over 5 scopes
    When 50 policy tables take them, each in another order and some twice
    Then each table holds the highest number of each scope
    And all tables have the same digest

  Scenario Outline: A lost answer is settled by what is read back
    Then a filing with found ticket <found> and head <head> is <result>

    Examples:
      | found | head      | result    |
      | own   | changed   | filed     |
      | other | changed   | conflict  |
      | none  | changed   | not_filed |
      | none  | unchanged | open      |

  Scenario: Nodes of a data centre poll twice a second in all
    Then polls are 0.5 s times the nodes apart on average for 1, 4 and 109 nodes
    And a lone node that backs off polls again within 3 s
