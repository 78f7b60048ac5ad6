Feature: Nothing is done or kept for clients that have left

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario Outline: A request that waits at another node is dropped when its client leaves
    Guards against an upload that waits for a slot, and that runs although its
    client left long before.
    Given the back end of "two" is killed and started with 1 slots
    And the node of "two" knows 1 slots
    When 1 clients of "one" send POST "/order/1?delay_ms=1500" with 6 s left
    And the back end of "two" runs 1 request
    And 3 clients of "one" send <size> bytes to "/order/2", wait 0.3 s and leave
    Then all of them are answered, 1 with status 200
    And the back end of "two" ran nothing for the clients that left

    Examples:
      | size   |
      | 1000   |
      | 200000 |

  Scenario: The requests of a client that sent many ahead and left are dropped
    Guards against a connection with eight requests in progress that does not
    learn of its end, so that they run on and further ones begin.
    When a client of "one" sends 12 requests for "/page/1?delay_ms=1800" ahead, waits 0.3 s and leaves
    Then the back end of "one" drops 8 of them before their end, and begins no other

  Scenario: A client that has left is noticed behind more bytes than are read ahead
    Guards against requests that run on since nothing is read from the
    connection any more.
    When a client of "one" sends 8 requests for "/page/1?delay_ms=1800", 120000 bytes of an upload, waits 0.3 s and leaves
    Then the back end of "one" drops 8 of them before their end, and begins no other

  Scenario: A client that has left is noticed behind an invalid request
    Guards against the same while the answer to an invalid request is held
    back until the requests before it have ended.
    When a client of "one" sends 2 requests for "/page/1?delay_ms=1800" and an invalid one, waits 0.3 s and leaves
    Then the back end of "one" drops 2 of them before their end, and begins no other

  Scenario: A connection that is not read is given up soon after its client left
    Guards against work that goes on for more than half a second after the
    client has left, or a timer that runs without a connection to watch.
    Given a watch on a connection whose requests run and that is not read
    When its client sends 1000 bytes and leaves
    Then the watch gives it up within 0.5 s
    And the watch has no timer

  Scenario: An answer of another node is not received for a client that has left
    Guards against the rest of a long answer that the other node keeps, and its
    task with it, as long as the connection lives.
    Given a call whose answer of another node has arrived in part
    When its client leaves
    Then the other node is told to cancel it

  Scenario: A body that another node gives up is no error
    Guards against a traceback, and a refusal that says "may have run", for a
    client that leaves while its body is passed on.
    When another node sends a part of a body to "two" and gives it up
    Then it is told that the call has not run
    And "two" logs no unexpected error
