Feature: Organisations share the capacity of a full service fairly

  Scenario: One of 73 organisations sends 7 times its usual rate
    Guards against one organisation that takes the capacity of all others, and
    against one that gets nothing.
    Given 73 organisations, 3 of them large, that usually send 1080 requests a second
    And upstreams that end 1200 requests a second
    When "large-0" sends 7 times as much for 40 s
    Then the others were refused at most half as often as without shares
    And each organisation was served at least a quarter as often as all
    And at least 95 in 100 of the capacity were used

  Scenario: A small organisation sends 7 times its usual rate
    Guards against an organisation within its share that is refused first.
    Given 73 organisations, 3 of them large, that usually send 1200 requests a second
    And upstreams that end 1200 requests a second
    When "small-0" sends 7 times as much for 40 s
    Then each organisation was served at least a quarter as often as all
    And the small organisations were served at least as often as without shares

  Scenario: The share that others leave unused is available at once
    Guards against an organisation that is refused while there is room.
    Given 73 organisations, 3 of them large, that usually send 1080 requests a second
    And upstreams that end 1200 requests a second
    When "large-0" sends 7 times as much for 20 s
    And then the others send a third of their rates for 4 s
    Then at least 95 in 100 of the requests of the last 2 s were served

  Scenario: Organisations that send alike are treated alike
    Guards against organisations that are refused first by chance.
    Given 73 organisations, 0 of them large, that usually send 1800 requests a second
    And upstreams that end 1200 requests a second
    When all send their usual rates for 40 s
    Then each organisation was served at least 0.8 times as often as all

  Scenario: Nodes and data centres are treated alike
    Guards against a data centre with few requests, which sees old reports, and
    is refused more often.
    Given 73 organisations, 3 of them large, that usually send 1800 requests a second
    And upstreams that end 1200 requests a second
    And first nodes that receive 60, 20, 10, 5, 1 of 96 requests
    When all send their usual rates for 40 s
    Then each first node was served at least 0.8 times as often as all

  Scenario Outline: The fair share is the largest that the capacity allows
    Guards against a share that leaves capacity unused.
    Then the fair share of <capacity> among the demands <demands> is <share>

    Examples:
      | capacity | demands     | share |
      | 10       | 1, 2, 12    | 7     |
      | 10       | 4, 4, 4, 4  | 2.5   |
      | 10       | 1, 2, 3     | inf   |

  Scenario: An organisation in excess gains nothing by returning
    Guards against refused requests of one organisation that come back before
    the new ones of all others.
    When an organisation with 4 times its share sends 1000 requests that were refused before
    Then between 20 and 30 in 100 of them come before newcomers
    And the others come after 93 in 100 of the newcomers

  Scenario: The memory for organisations is bounded
    Guards against memory that names of organisations fill.
    When 100000 organisations send one call each
    Then at most 1024 of them are counted by name
    And one that sends 400 of the next 500 calls is in excess

  Scenario: Without organisations nothing is sent
    Guards against a change for deployments without organisations.
    When 1000 calls without an organisation arrive at a full upstream
    Then its report names no excess

  Scenario Outline: A load report carries the excess that it names
    Guards against reports of nodes that lack the field, and against factors
    that no node computes.
    When a node receives a load report with the excess "<factor>" of "oak"
    Then the received excess is <outcome>

    Examples:
      | factor | outcome              |
      | none   | valid without excess |
      | 2.5    | valid with 2.5       |
      | 0.5    | refused              |
      | nan    | refused              |
      | inf    | refused              |

  Scenario: Excess at a deep service is known at the first node
    Guards against requests of an organisation in excess that are refused only
    after work was done for them.
    Given a platform with the routes
      | name  | prefix  | kind | service   |
      | page  | /page/  | safe | catalogue |
      | order | /order/ | safe | orders    |
      | deep  | /deep/  | safe | stock     |
    And the organisations
      | name | keys     |
      | vine | vine-key |
      | oak  | oak-key  |
    And clients hold the key "oak-key"
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And the instance "three" with a back end of "stock" and 2 slots
    And "one" serves "/order/ready" and "/deep/ready"
    When 24 clients with the key "vine-key" and 2 with "oak-key" send "/order/1?call=shop.example/deep/1%3Fdelay_ms%3D40" to "one" for 8 s
    Then "three" has logged that "vine" exceeds its share
    And "one" has worsened requests
    And the requests of "oak-key" were served at least twice as often as those of "vine-key"
