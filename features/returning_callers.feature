Feature: Clients that return after a refusal come before newcomers

  Scenario: Refused clients return among newcomers at 1.5 times the capacity
    Guards against clients that are refused again while newcomers are served.
    Given clients that wait 6 s for a service of 100 requests a second
    When 150 requests a second arrive for 5 s and refused clients return
    Then the returned requests were refused less often than the new ones
    And when a returned request was refused, at most 13 in 100 newcomers of the same 100 ms were admitted
    And at most half as many requests were refused again as without a memory

  Scenario: A burst is served to the last client
    Guards against clients that give up although there was room for them later.
    Given clients that wait 6 s for a service of 100 requests a second
    When 150 requests a second arrive in 3 of every 10 s, else 60, for 40 s and refused clients return
    Then no client gave up

  Scenario: A client that comes too early gains nothing and keeps its place
    Guards against an advantage for clients that ignore the Retry-After.
    Given a memory for 10 refusals
    When a client with the deadline 6.0 is refused at 0.0 until 1.0
    Then its request at 0.5 is too early
    And its request at 1.0 is due
    And its request at 1.1 is unknown
    When a client with the deadline 8.0 is refused at 2.0 until 3.0
    Then its request at 8.5 is unknown

  Scenario: Each of several clients with the same request is remembered once
    Guards against one client that is served for another, and against a refusal
    that is used twice.
    Given a memory for 10 refusals
    When a client with the deadline 6.0 is refused at 0.0 until 1.0
    And a client with the deadline 7.0 is refused at 0.2 until 1.2
    Then the request of a client with the deadline 9.0 at 0.9 is unknown
    And the request of a client with the deadline 9.0 at 1.3 is due
    And the request of a client with the deadline 7.0 at 1.3 is due
    And the request of a client with the deadline 6.0 at 1.3 is unknown

  Scenario: The memory is bounded in number and in time
    Guards against memory that clients fill.
    Given a memory for 10 refusals
    When 1000 clients with other requests are refused at 0.0
    Then it holds 10 refusals
    Given a memory for 100 refusals
    When 1000 clients with the same request are refused at 0.0
    Then it holds 64 refusals
    When 1 clients with other requests are refused at 61.0
    Then it holds 1 refusals

  Scenario: Refused clients are spread over the time in which there is room
    Guards against clients that return at one moment.
    Given a service that has answered 100 requests a second
    When 60 clients that wait at most 2.0 s are refused at one moment
    Then none is told to wait longer than 2.0 s or less than 0.25 s
    And no 100 ms see the return of more than 10 of them

  Scenario Outline: A message opens a call with the rank that it carries
    Guards against calls of nodes that do not know the field, and against a
    number that the admission level cannot count.
    When a node receives a call with the rank "<rank>"
    Then the call is <outcome>

    Examples:
      | rank   | outcome                       |
      | none   | ranked by its trace id, 3.999 |
      | 0.0625 | ranked by the message, 3.062  |
      | 1.0    | not valid                     |
      | -0.1   | not valid                     |
      | nan    | not valid                     |

  Scenario: The rank of a returned request holds in its whole chain
    Guards against a deeper node that refuses what the first node has ranked
    before newcomers, and against a Retry-After that clients do not honour.
    Given a platform with the routes
      | name  | prefix  | kind     | service   |
      | page  | /page/  | safe     | catalogue |
      | order | /order/ | unsafe   | orders    |
    And a node "one" of "catalogue" and a node "two" of "orders" with 1 slot, which remember refusals
    And "one" serves "/order/ready" and "/page/ready"
    When 12 clients of "one" send POST "/order/slow?delay_ms=300&call=shop.example/page/2" and remember the answers
    Then some of them are refused with a wait of at most a third of their time
    When the refused clients return when they were told
    Then "one" has ranked as many requests as returned
    And at "two" the nested calls of returned requests that ran had a rank below 0.125
