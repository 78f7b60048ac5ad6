Feature: Pipelined requests overlap if they may run more than once

  Scenario: Only requests that may run more than once overlap
    Guards against an order that runs beside other requests of its connection
    or before them, and answers in another order than that of the requests.
    Given a client connection
    When the client sends the requests "safe 1, safe 2, unsafe 3, safe 4, safe 5"
    Then the requests "1 2" run and "" are answered
    When request 2 ends
    Then the requests "1" run and "" are answered
    When request 1 ends
    Then the requests "3" run and "1 2" are answered
    When request 3 ends
    Then the requests "4 5" run and "1 2 3" are answered
    When request 4 ends
    And request 5 ends
    Then the requests "" run and "1 2 3 4 5" are answered

  Scenario: A refused request does not hold up those behind it
    Guards against requests that wait although the one before them runs nowhere.
    Given a client connection
    When the client sends the requests "safe 1, unrouted 2, safe 3"
    Then the requests "1 2 3" run and "" are answered

  Scenario: A connection runs at most eight requests and still learns of its end
    Guards against a client that takes a whole node with one connection, and
    against requests that run on after their client has left.
    Given a client connection
    When the client sends the requests "safe 1, safe 2, safe 3, safe 4, safe 5, safe 6, safe 7, safe 8, safe 9"
    Then the requests "1 2 3 4 5 6 7 8" run and "" are answered
    And the connection reads on
    When request 2 ends
    Then the requests "1 3 4 5 6 7 8 9" run and "" are answered
    When request 1 ends
    Then the requests "3 4 5 6 7 8 9" run and "1 2" are answered
    And the connection reads on

  Scenario: What a connection reads ahead is bounded
    Guards against a client that fills the memory of a node with requests that
    may not start yet.
    Given a client connection
    When the client sends 8 requests, and 65,000 bytes of further ones
    Then the connection reads on
    When the client sends 2,000 bytes of further ones
    Then the connection reads no more
    When all requests have ended, and all those behind them
    Then the connection reads again

  Scenario: Requests behind the last one of a connection are not run
    Guards against a run of a request that its client sends again, since it
    got no answer to it.
    Given a client connection
    When the client sends the requests "safe 1 close, safe 2, unsafe 3"
    Then the requests "1" run and "" are answered
    When request 1 ends
    Then the requests "" run and "1" are answered
    And the connection is closed

  Scenario: Nothing is started for a client that does not read
    Guards against responses without number that are kept for one client.
    Given a client connection
    When the client reads no more
    And the client sends the requests "safe 1, safe 2"
    Then the requests "" run and "" are answered
    When the client reads again
    Then the requests "1 2" run and "" are answered

  Scenario: The requests of a client that leaves are cancelled or dropped
    Guards against an order that starts for a client that has left.
    Given a client connection
    When the client sends the requests "safe 1, safe 2, unsafe 3"
    And the client disconnects
    Then the requests "" run and "" are answered
    And the connection is idle

  Scenario: A request is judged by the policy under which it was started
    Guards against an order beside which others run, as its route has become
    safe in the meantime.
    Given a client connection
    When the client sends the requests "unsafe 1"
    And a new policy makes all requests safe
    And the client sends the requests "unsafe 2"
    Then the requests "1" run and "" are answered
    When request 1 ends
    Then the requests "2" run and "1" are answered

  Scenario: Requests on one connection of a node overlap, and an order does not
    Guards against a slow request that holds up the safe ones behind it, end to
    end.
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"
    When a client of "one" sends the requests "GET /page/1?delay_ms=1500", "GET /page/2" and "POST /order/3" on one connection
    Then the back end of "one" has finished "p1" but not "p0"
    And "p2" ran nowhere
    When a client sends the last request "GET /page/4" on the connection
    Then the answers on the connection have the statuses 200 200 200 200
    And their ids are "p0 p1 p2 last"
