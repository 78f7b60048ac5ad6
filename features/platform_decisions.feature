Feature: Decisions of a node on a platform follow from what is passed in

  Scenario Outline: The longest prefix of the path wins
    Guards against a prefix matched inside a segment, or in the query.
    Given the routes "/", "/shop/", "/shop/new/" of "a.example"
    Then "<target>" of "<host>" takes the route "<route>"

    Examples:
      | host      | target         | route      |
      | a.example | /shop/new/1    | /shop/new/ |
      | a.example | /shop/newer/1  | /shop/     |
      | a.example | /shop          | /          |
      | a.example | /x?y=/shop/new/ | /         |
      | b.example | /shop/1        | none       |

  Scenario: A split route keeps its weights also over short spans
    Guards against shares that drift by chance.
    Given a route split 90 to "a", 10 to "b" and 0 to "c"
    When 50 requests are distributed
    Then "a" gets 45, "b" gets 5 and "c" gets 0

  Scenario: Calls go to a far upstream only when it is clearly less loaded
    Guards against a near upstream that is used while it is full.
    Given a near upstream with 20 of 100 places in use and a far one with 10
    Then the near one is chosen
    Given a near upstream with 80 of 100 places in use and a far one with 10
    Then the far one is chosen

  Scenario: Old reports of open upstreams do not hide that all are full
    Guards against trees that start although a deep service admits nothing.
    Given an upstream that reported level 4.0 at time 0 and one that reported 0.5 at time 2
    Then the level of their service at time 2 is 0.5

  Scenario: Single refusals of an upstream leave the level alone
    Guards against a level that falls to the bottom for a refusal a window.
    Given an admission level at time 0
    When 1 of 50 calls of each window is refused for 20 windows
    Then the level is between 4 and 4
    When 25 of 50 calls of each window are refused for 20 windows
    Then the level is between 0 and 3

  Scenario: Refusals of calls above the level do not lower it further
    Guards against a level of 0 while an upstream sheds only the calls that
    are not repeated, because calls of earlier requests still arrive.
    Given an admission level at time 0
    When all 50 calls above number 1.0 of each window are refused for 40 windows, and none of 20 below it
    Then the level is between 0.7 and 1.5

  Scenario Outline: Repeats of a service stay within the shared bound and use it
    Guards against a budget that holds at each node only, or that leaves most
    of the allowed repeats unused where many nodes share them.
    Given <nodes> upstreams of a service with a bound of 0.2 and a slack of <slack>
    When they are sent <requests> first calls each and as many repeats as they allow
    Then between <least> and <most> repeats were granted

    Examples:
      | nodes | slack | requests | least | most |
      | 13    | 47    | 100      | 230   | 307  |
      | 9     | 213   | 40       | 200   | 285  |
      | 90    | 213   | 4        | 90    | 285  |

  Scenario Outline: The bound on repeats holds over any span of its window
    Guards against repeats beyond the bound when nodes die and start again, one
    by one or all at once.
    Given 9 upstreams of a service with a bound of 0.2 and a slack of 47
    When seed <seed> plays 120 s of calls, repeats and crashes
    Then no span of 10 s held more repeats than the bound allows

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: Scarce repeats go to whole requests while upstreams shed calls
    Guards against repeats that are spread over all requests, while each of
    them still loses one of its calls.
    Given 5 upstreams of a service with a bound of 0.2 and a slack of 100
    And they shed 55 in 100 of the calls that they get
    When requests of 8 calls each arrive for 10 seconds, 200 a second
    Then at least twice as many complete as with repeats in the order of arrival

  Scenario: Calls of a repeated run are counted but not refused
    Guards against a bound that is exceeded by what repeated runs call, or a
    repeated run that is wasted since its calls are refused.
    Given 1 upstreams of a service with a bound of 0.2 and a slack of 10
    When it is sent 20 first calls and 30 calls of repeated runs
    Then no repeat is granted

  Scenario Outline: The bound on repeats holds over the window of the settings
    Guards against repeats that are counted over another time than the
    platform counts them.
    Given a budget of repeats over <window> seconds with a slack of 5
    When it grants all repeats of the slack at second 100.0
    Then it grants <count> repeats at second <now>

    Examples:
      | window | now   | count |
      | 10.0   | 108.0 | 0     |
      | 10.0   | 111.0 | 4     |
      | 3.0    | 102.0 | 0     |
      | 3.0    | 104.0 | 4     |
      | 30.0   | 128.0 | 0     |
      | 30.0   | 131.0 | 4     |

  Scenario: A changed window holds for repeats that were granted before
    Guards against bounds that only services without repeats learn of.
    Given a budget of repeats over 10.0 seconds with a slack of 5
    When it grants all repeats of the slack at second 100.0
    And its window changes to 3.0 seconds
    Then it grants 0 repeats at second 102.0
    And it grants 4 repeats at second 104.0

  Scenario Outline: Late and foreign heartbeats are told from new ones
    Guards against a live upstream taken out by the word of a dead one.
    Given a heartbeat of "i-1" started at 1000 with sequence 5
    When a heartbeat of "<upstream>" started at <started> with sequence <sequence> arrives
    Then it is <outcome>

    Examples:
      | upstream | started | sequence | outcome |
      | i-1      | 1000    | 6        | taken   |
      | i-1      | 1000    | 5        | ignored |
      | i-0      | 900     | 9        | not acknowledged |
      | i-1      | 2000    | 1        | taken   |
      | i-2      | 2000    | 1        | taken   |

  Scenario: A start whose clock was set back takes over from one that is silent
    Guards against an upstream that is ignored for as long as its clock was
    set back, while its departures are acknowledged.
    Given a heartbeat of "i-1" started at 3400 with sequence 5
    When a heartbeat of "i-1" started at 2300 with sequence 1 arrives
    Then it is not acknowledged
    When 0.3 s pass
    And a heartbeat of "i-1" started at 2300 with sequence 2 arrives
    Then it is not acknowledged
    When 2.7 s pass
    And a heartbeat of "i-1" started at 2300 with sequence 3 arrives
    Then it is taken
    When a heartbeat of "i-1" started at 3400 with sequence 6 arrives
    Then it is not acknowledged
    When "i-1" started at 2300 leaves
    Then it is taken

  Scenario: Late heartbeats of an earlier start do not take over from a live one
    Guards against an upstream that is replaced by one that has crashed.
    Given a heartbeat of "i-1" started at 1000 with sequence 5
    When a heartbeat of "i-1" started at 2000 with sequence 1 arrives
    And a heartbeat of "i-1" started at 1000 with sequence 6 arrives
    And 3.0 s pass
    And a heartbeat of "i-1" started at 2000 with sequence 2 arrives
    And a heartbeat of "i-1" started at 1000 with sequence 7 arrives
    Then it is not acknowledged
    When a heartbeat of "i-1" started at 1000 with sequence 8 arrives
    Then it is not acknowledged

  Scenario: A late repetition does not show that a start is alive
    Guards against one heartbeat that is delivered twice.
    Given a heartbeat of "i-1" started at 3400 with sequence 5
    When 9.0 s pass
    And a heartbeat of "i-1" started at 2300 with sequence 4 arrives
    And a heartbeat of "i-1" started at 2300 with sequence 4 arrives
    Then it is not acknowledged

  Scenario: A start whose clock was set back may leave before it takes over
    Guards against a departure that is acknowledged and not in force.
    Given a heartbeat of "i-1" started at 3400 with sequence 5
    When "i-1" started at 2300 asks to leave
    Then it is not acknowledged
    When 3.0 s pass
    And "i-1" started at 2300 asks to leave
    Then it is taken
    When a heartbeat of "i-1" started at 3400 with sequence 6 arrives
    Then it is ignored

  Scenario: A start with a clock set back follows one that has left
    Guards against an upstream that never comes back after a departure.
    Given a heartbeat of "i-1" started at 3400 with sequence 5
    When "i-1" started at 3400 leaves
    And 3.0 s pass
    And a heartbeat of "i-1" started at 2300 with sequence 1 arrives
    Then it is not acknowledged
    When a heartbeat of "i-1" started at 2300 with sequence 2 arrives
    Then it is taken

  Scenario: An upstream that has left does not come back by a late heartbeat
    Given a heartbeat of "i-1" started at 1000 with sequence 5
    When "i-1" started at 1000 leaves
    And a heartbeat of "i-1" started at 1000 with sequence 9 arrives
    Then it is ignored

  Scenario Outline: A node that has just started remembers who has left
    Guards against a late heartbeat that brings back an upstream whose
    departure was acknowledged before its first heartbeat was seen.
    Given no heartbeat yet
    When "i-1" started at <left> leaves without being known
    And a heartbeat of "<upstream>" started at <started> with sequence <sequence> arrives
    Then it is <outcome>

    Examples:
      | left | upstream | started | sequence | outcome |
      | 1000 | i-1      | 1000    | 21       | ignored |
      | 1000 | i-1      | 2000    | 21       | taken   |
      | 1000 | i-2      | 1000    | 21       | taken   |
      | 0    | i-1      | 1000    | 21       | ignored |
      | 0    | i-1      | 2000    | 1        | taken   |

  Scenario Outline: A restarted node adopts the departures of its earlier process
    Guards against an upstream that a late heartbeat brings back after its
    node has restarted, and against one that can never come back.
    Given no heartbeat yet
    When the departure of "i-1" started at 1000 with <announced> is adopted
    And a heartbeat of "<upstream>" started at <started> with sequence <sequence> arrives
    Then it is <outcome>

    Examples:
      | announced   | upstream | started | sequence | outcome |
      | sequence 7  | i-1      | 1000    | 6        | ignored |
      | sequence 7  | i-1      | 1000    | 8        | taken   |
      | no sequence | i-1      | 1000    | 8        | ignored |
      | sequence 7  | i-1      | 2000    | 1        | taken   |
      | no sequence | i-1      | 2000    | 1        | taken   |
      | no sequence | i-2      | 2000    | 1        | taken   |
      | no sequence | i-1      | 900     | 1        | not acknowledged |

  Scenario Outline: A start is in doubt when its departure may be forgotten
    Guards against a late heartbeat that is taken for that of a live start, as
    well as against status checks that nothing requires.
    Given <known> heartbeat of "i-1" started at 1000 at <process> process of the node
    Then a "<state>" heartbeat of "<upstream>" started at <started> <asks> the upstream

    Examples:
      | known | process   | state    | upstream | started | asks          |
      | no    | a later   | ready    | i-1      | 1000    | asks          |
      | no    | a later   | draining | i-1      | 1000    | does not ask  |
      | no    | the first | ready    | i-1      | 1000    | does not ask  |
      | one   | the first | ready    | i-1      | 1000    | does not ask  |
      | one   | the first | ready    | i-1      | 900     | asks          |
      | one   | the first | ready    | i-2      | 2000    | asks          |
      | one   | a later   | ready    | i-1      | 1000    | does not ask  |

  Scenario Outline: A status check tells who takes work
    Guards against an upstream that is used although it leaves, or
    kept out because it is full or wrong about its health.
    Then the sender of a heartbeat of "i-1" is <liveness> when "<upstream>" answers <answer>

    Examples:
      | upstream | answer            | liveness |
      | i-1      | 200               | live     |
      | i-1      | 200 and closes    | live     |
      | i-1      | 404 and closes    | live     |
      | i-1      | 503               | live     |
      | i-1      | 503 and closes    | leaving  |
      | i-2      | 200               | replaced |
      | i-2      | 503 and closes    | replaced |
      | no id    | 503               | live     |
      | no id    | 503 and closes    | leaving  |
      | no id    | nothing           | unknown  |

  Scenario Outline: A departure is adopted after a late heartbeat was taken
    Guards against a restarted node that hears the late heartbeat first.
    Given a heartbeat of "i-1" started at 1000 with sequence 5
    When the departure of "<upstream>" started at <started> with <announced> is adopted
    Then the newest start has <left>
    When the departure of "<upstream>" started at <started> with <announced> is adopted
    Then the newest start has <left>

    Examples:
      | announced   | upstream | started | left     |
      | no sequence | i-1      | 1000    | left     |
      | sequence 6  | i-1      | 1000    | left     |
      | sequence 4  | i-1      | 1000    | not left |
      | no sequence | i-1      | 900     | not left |
      | no sequence | i-0      | 1000    | not left |

  Scenario: The delay of a message does not depend on whose clock is right
    Guards against a call that is taken for late because a clock differs, and
    against one that waited in the buffer of a suspended process and is not.
    When messages sent at these times of one clock arrive at these of another
      | sent  | arrived | delay |
      | 5000  | 1.0     | 0     |
      | 5001  | 2.25    | 0.25  |
      | 5002  | 6.0     | 3.0   |
      | 5003  | 6.0     | 2.0   |
      | 5028  | 29.0    | 0     |
      | 5040  | 41.5    | 0.5   |
      | 5080  | 81.5    | 0     |
      | 9000  | 8000.0  | 0     |
    Then their delays are as given

  Scenario: Nodes of a service are not looked at while its levels are cached
    Guards against a cost of each request that grows with the size of its service.
    Given a choice among 90 nodes of a service
    When the levels of the service are asked for 10 times at once
    Then each node was looked at once

  Scenario: Names of the wire stay in the adapter
    Guards against a product that depends on one platform's words.
    Then no source outside the adapter holds a name of the platform's wire

  Scenario: A log that nobody reads does not stop the node
    Guards against an event loop that waits for a full pipe.
    Given a log stream into a pipe that nobody reads
    When 20000 lines are written
    Then all writes returned and dropped lines are counted

  Scenario Outline: The nodes share the polls of the store
    Guards against calls to the store that grow with the number of nodes, and
    against polls that began together and all end late when no response comes.
    Given a deployment of <nodes> nodes whose polls begin together
    Then they poll an unchanged store at most <calls> times in 60 s
    And no poll waits longer than 30 s
    And one of their polls ends in any <gap> s
    When the first node is gone
    Then one of their polls ends in any <gap> s

    Examples:
      | nodes | calls | gap |
      | 1     | 30    | 2   |
      | 2     | 60    | 2   |
      | 16    | 60    | 2   |
      | 39    | 110   | 2   |
      | 244   | 600   | 1   |
      | 1200  | 2600  | 1   |

  Scenario Outline: A route does not depend on services that the policy rules out
    Guards against a service that has been replaced and is gone, for which all
    requests are refused, so that none shows that it is no longer called.
    Given 20 requests of "order" have called "stock" on the route "lookup"
    Then "order" depends on "stock"
    When <change>
    Then "order" depends on "<service>"
    When a request of "order" that has called "stock" ends
    Then "order" depends on "<later>"

    Examples:
      | change                                | service | later   |
      | a policy sends "lookup" to "stock"    | stock   | stock   |
      | a policy sends "lookup" to "store"    | nothing | nothing |
      | a policy sends "other" to "stock"     | nothing | nothing |
      | the upstream restarts                 | nothing | stock   |
