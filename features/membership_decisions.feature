Feature: Decisions about members follow from records and a passed-in clock

  Scenario: A silent member is suspected after 1.5 s and dead 3 s later
    Given a probe schedule of "a" that knows "b", "c", "d", "e"
    When no probe is answered for 5.2 s
    Then the first probed member is asked for by 3 others 0.5 s later
    And it is suspected 1.5 s after its probe
    And it is declared dead 4.5 s after its probe

  Scenario: A member that answers is not suspected
    Given a probe schedule of "a" that knows "b", "c", "d", "e"
    When each probe is answered for 20 s
    Then each of the 4 members was probed 5 times
    And no member was suspected

  Scenario Outline: Each member of another data centre is probed in bounded time
    Guards against a node of a lost data centre that is found dead only when
    chance picks it, since remote members were drawn at random.
    Given a probe schedule of "a" that knows "b", "c"
    And the schedule draws with seed <seed>
    And the schedule knows "x" of data centre "dc2"
    And the schedule knows "y" of data centre "dc2"
    When each probe is answered for 96 s
    Then "x" is probed every 24 s at least, and "y" too
    And 11 to 13 probes went to another data centre

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: A node that was stopped does not judge others by its own pause
    Given a probe schedule of "a" that knows "b", "c", "d", "e"
    When a probe starts and the node is stopped for 60 s
    Then no member was suspected

  Scenario: A helper of another data centre is asked as well
    Guards against a data centre that takes another one for dead when only
    the path between the two has failed.
    Given a probe schedule of "a" that knows "b", "c", "d", "e"
    And the schedule knows "x" of data centre "dc2"
    Then "x" is always among the helpers for "b"

  Scenario: Members of a lost data centre are tried again
    Given a probe schedule of "a" that knows "b", "c"
    And the schedule knows the dead "x" of data centre "dc2"
    When each probe is answered for 60 s
    Then "x" was contacted at least 15 times

  Scenario Outline: A record that says that a node has failed is refuted
    Given the own record with incarnation 5 and version <own>
    When a claim "<state>" with incarnation <incarnation> and version <claim> arrives
    Then the refutation has version <answer>

    Examples:
      | own | state   | incarnation | claim | answer |
      | 3   | suspect | 5           | 3     | 4      |
      | 3   | dead    | 5           | 7     | 8      |
      | 3   | dead    | 5           | 2     | 0      |
      | 3   | dead    | 4           | 9     | 0      |
      | 3   | taking  | 6           | 1     | 0      |

  Scenario Outline: An earlier process of the node is outbid, another node is not
    Guards against a node whose records are held for outdated after its clock
    was set back, and against two nodes that outbid each other for ever.
    Given the own record with incarnation 5 and version 3
    When a record with incarnation 9 at <address> arrives
    Then the own incarnation is <incarnation>

    Examples:
      | address         | incarnation |
      | the same port   | 10          |
      | another port    | 5           |

  Scenario: A data centre does not believe others about its own members
    Guards against a partition after whose end neighbours give each other no
    work.
    Given a table with live members "b", "c" of "dc1" and "x" of "dc2"
    When a node of "dc2" says that "b", "x" are dead
    Then "x" is merged and "b" is told
    When a node of "dc1" says that "b" are dead
    Then "b" is merged and "" is told

  Scenario: A change rides on few pings, and a burst on several
    Given 20 changes among 1200 nodes
    When pings are sent until nothing is left to spread
    Then no ping carried more than 8 changes
    And each change was carried 33 times

  Scenario: A table with different records is repaired by versions alone
    Given two tables of 100 members with 7 differences each way
    When they exchange versions both ways
    Then both tables hold the same newest records
    And only the 14 records that differed were sent

  Scenario: Exchanges are spaced by their size
    Then a data centre of 110 members exchanges versions every 8.8 s

  Scenario: A dead record outlives an old copy and is forgotten in the end
    Guards against a dead member that comes back from a node that was stopped
    for long.
    Given a table with live members "b", "c" of "dc1" and "x" of "dc2"
    When the record of "b" is marked dead
    And the records get 2 days older
    And an old copy of "b" arrives
    Then the record of "b" is "dead"
    When the records get 2 days older
    Then the record of "b" is forgotten

  Scenario: A new life of an instance replaces its dead record
    Given a table with live members "b", "c" of "dc1" and "x" of "dc2"
    When the record of "b" is marked dead
    And "b" starts again with a new incarnation
    Then the record of "b" is "taking"

  Scenario: Tables with the same live records have the same hashes
    Guards against endless exchanges about records that one side has
    forgotten.
    Given two tables that took the same records in another order
    When one of them forgets its dead records
    Then their hashes are equal

  Scenario Outline: The row of first peers is written when few of it are alive
    Given a data centre with <live> live members
    And a row with <kept> of them and <gone> others
    Then the row planned has <planned> addresses

    Examples:
      | live | kept | gone | planned |
      | 1    | 0    | 0    | 1       |
      | 3    | 3    | 5    | 0       |
      | 20   | 5    | 3    | 0       |
      | 20   | 4    | 4    | 8       |

  Scenario: An instance that failed a call is avoided for 3 s
    Given a node that saw "b" fail by "connection_lost" and "c" by "level"
    Then "b" is avoided after 0 s and not after 3.1 s
    And "c" is not avoided
    And "b" is not avoided after an answer
