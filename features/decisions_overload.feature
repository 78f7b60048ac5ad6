Feature: Overload decisions on a passed-in clock

  Scenario: The level falls until an overloaded upstream admits what it can do
    Guards against a level that does not settle under lasting overload.
    Given an admission level at time 0
    When browsing calls arrive at 600 a second and 300 a second can start, for 6 s
    Then between 45 % and 60 % of the browsing calls of the last second were admitted
    And the level is between 1 and 2

  Scenario: The level rises to the top once the overload has passed
    Given an admission level at time 0
    When browsing calls arrive at 600 a second and 300 a second can start, for 6 s
    And browsing calls arrive at 100 a second and 300 a second can start, for 4 s
    Then the level is between 4 and 4

  Scenario: Internal lookups are refused before orders
    Given an admission level at time 0
    When mixed calls arrive at 600 a second and 300 a second can start, for 6 s
    Then no order and all internal lookups of the last second were refused

  Scenario: A cold limit grows by one for each window
    Given a concurrency limit of 50 slots
    When 20 windows of calls with 40 ms own time pass
    Then the limit allows 25 calls

  Scenario: Own time that grows with the number of calls lowers the limit
    Guards against a limit that follows the announced slots of an upstream that cannot keep them.
    Given a warm concurrency limit of 50 slots
    When 60 windows pass whose own time is 4 ms for each call at once above 10
    Then the limit allows between 10 and 30 calls

  Scenario: An upstream that is slow for another reason keeps its limit
    Guards against a limit of one call after a service became slow at every load.
    Given a warm concurrency limit of 50 slots
    When 10 windows of calls with 20 ms own time pass
    And 20 windows of calls with 80 ms own time pass
    Then the limit allows between 45 and 50 calls

  Scenario: Refused calls of one window lower the limit once
    Given a warm concurrency limit of 50 slots
    When 10 calls that started together are refused by the upstream
    Then the limit allows 45 calls

  Scenario: The queue runs important and deep calls first
    Given an admission queue of 10 calls
    When these calls are queued at time 0
      | name  | class    | depth |
      | look  | INTERNAL | 0     |
      | page  | BROWSING | 0     |
      | inner | BROWSING | 2     |
      | order | ORDER    | 0     |
      | later | BROWSING | 2     |
    Then at time 0.01 the queue runs "order, inner, later, page, look"

  Scenario: Under overload the newest runs first and late calls are refused
    Given an admission queue of 10 calls
    When calls "a, b" are queued at time 0
    And calls "c, d" are queued at time 0.08
    And calls "e, f" are queued at time 0.13
    Then at time 0.13 the queue runs "f"
    And the queue refused "a, b" as queue_delay
    And at time 0.14 the queue runs "e, d, c"

  Scenario: A call of running work waits longer than a new request
    Guards against orders whose last call is refused after a short wait, which
    wastes all the work above it.
    Given an admission queue of 10 calls in which nested calls wait 3 times as long
    When these calls are queued at time 0
      | name  | class | depth |
      | root  | ORDER | 0     |
      | inner | ORDER | 2     |
    And calls "a" are queued at time 0.15
    Then the queue refused "root" as queue_delay
    And at time 0.16 the queue runs "inner, a"

  Scenario: A full queue refuses the least important call
    Given an admission queue of 2 calls
    When these calls are queued at time 0
      | name  | class    | depth |
      | look  | INTERNAL | 0     |
      | page  | BROWSING | 0     |
      | order | ORDER    | 0     |
      | map   | DOWNLOAD | 0     |
    Then the queue refused "look, map" as queue_full
    And at time 0 the queue runs "order, page"

  Scenario: A call that cannot end before its deadline is refused
    Given an admission queue of 5 calls
    When a call "slow" is queued with deadline 1.0 and 0.3 s of work
    And calls "quick" are queued at time 0
    Then at time 0.8 the queue runs "quick"
    And the queue refused "slow" as deadline

  Scenario: A call that left is not run
    Given an admission queue of 5 calls
    When calls "a, b" are queued at time 0
    And call "a" leaves the queue
    Then at time 0.01 the queue runs "b"

  Scenario: The expected time of a route follows its calls and is forgotten
    Guards against a route that is refused forever after slow calls.
    Given service times of 50 calls of 400 ms
    Then the expected time is between 390 and 410 ms
    And after 10 s without a call it is below 20 ms

  Scenario: A level that is not renewed rises again
    Given the load of an upstream that reported level 1.5 at time 0
    Then its level at time 0 is 1.5
    And its level at time 0.1 is 1.5
    And its level at time 1.1 is 2.5
    And its level at time 9 is 4.0

  Scenario Outline: A caller that leaves while it waits frees its place
    Guards against a slot that is lost when its waiter is cancelled, <moment>.
    Given an admission with one place that is taken and two calls that wait
    When the first waiting call is cancelled <moment>
    And the place is given back
    Then the second waiting call gets the place
    And no call runs or waits once it has left

    Examples:
      | moment                              |
      | before the place is free            |
      | in the turn in which it got a place |

  Scenario: An upstream that was busy once is asked again
    Guards against an old report that keeps an idle upstream without work.
    Given the load of an upstream that reported level 1.5 at time 0
    Then it is thought to have 8 calls at time 0 and 2 calls at time 1

  Scenario: A waiting call is refused while its refusal can still be heard
    Guards against a request that was never run and whose client is told that
    it may have run, because its node gave up first.
    Given an admission with one place that is taken by calls of 200 ms
    When a call with 400 ms left waits for it
    Then it is refused as deadline, not run, at least 150 ms before its deadline
