Feature: A planned stop cuts off no request in flight (P7)

  Scenario Outline: A download and a payment in flight end whole
    Given the nodes "front", "beside" in "dc1"
    And upstreams of "patterns" beside "beside"
    When a caller starts a download of 32 MB from "front" at "/patterns/star"
    And a caller starts a payment of 3000 ms at "front" at "/patterns/pay"
    And both requests run at the upstream beside "beside"
    And node "<stopped>" gets SIGTERM
    And the caller reads the whole download
    Then the download and the payment are whole
    And the payment ran once at the upstream beside "beside"
    And node "<stopped>" exits with status 0

    Examples:
      | stopped |
      | front   |
      | beside  |

  Scenario: The only node stops with both in flight
    Guards against a node that waits for others but not for itself.
    Given the nodes "alone" in "dc1"
    And upstreams of "patterns" beside "alone"
    When a caller starts a download of 32 MB from "alone" at "/patterns/star"
    And a caller starts a payment of 3000 ms at "alone" at "/patterns/pay"
    And both requests run at the upstream beside "alone"
    And node "alone" gets SIGTERM
    And the caller reads the whole download
    Then the download and the payment are whole
    And node "alone" exits with status 0

  Scenario: The upstream's own calls work while its node drains
    Given the nodes "below", "beside", "front" in "dc1"
    And upstreams of "inventory" beside "below"
    And an upstream of "orders" beside "beside" that calls "inventory"
    When a caller starts a payment of 2000 ms at "front" at "/orders/pay"
    And 1 request runs at the upstream beside "beside"
    And node "beside" gets SIGTERM
    Then the payment is whole and "inventory" ran 1 time
    And node "beside" exits with status 0

  Scenario: Keep-alive callers end cleanly and new ones are refused
    Given the nodes "front" in "dc1"
    And upstreams of "patterns" beside "front"
    When 20 callers keep connections to "front" after an answer
    And a caller starts a payment of 2000 ms at "front" at "/patterns/pay"
    And 1 request runs at the upstream beside "front"
    And node "front" gets SIGTERM
    Then new connections to "front" are refused
    And each kept connection gets one more whole answer and then ends
    And the payment is whole and "patterns" ran 1 time
    And node "front" exits with status 0

  Scenario: A stop with nothing in flight is quick in spite of idle callers
    Guards against a drain that waits for connections instead of requests.
    Given the nodes "front", "other" in "dc1"
    When 20 callers keep connections to "front" without a request
    And node "front" gets SIGTERM
    Then node "front" exits with status 0 within 2 s
