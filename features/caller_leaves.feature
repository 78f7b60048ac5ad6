Feature: A caller that goes away

  Scenario: Idempotent work for a caller that has left is cancelled
    Guards against work for answers that nobody will read.
    Given a chain of services "catalogue", "inventory"
    And a node "front" without an upstream
    When 10 callers leave node "front" while "GET" "/catalogue/page?delay_ms=3000" runs
    Then service "catalogue" cancelled 10 runs

  Scenario: A non-idempotent request runs to its end
    Guards against an order that is cancelled half-way.
    Given a chain of services "orders"
    And a node "front" without an upstream
    When 10 callers leave node "front" while "POST" "/orders/place?delay_ms=500" runs
    Then service "orders" finished 10 runs and cancelled none

  Scenario: A client that waits for leave to send its body
    Given a chain of services "media"
    When a caller announces a body of 1000 bytes and waits for status 100 at node "media"
    Then the caller gets status 100 and then status 200
