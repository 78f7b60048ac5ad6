Feature: A trace shows each hop of a request with its verdict (P10)

  Scenario: The caller's trace goes through all hops
    Given a collector of spans
    And a chain of services "catalogue", "inventory"
    And a node "front" without an upstream
    When a caller asks node "front" for "/catalogue/page" within a recorded trace
    And a caller asks node "front" for "/nothing/x" within a recorded trace
    Then the collector has the spans of the traces
      | name                | rule        | verdict  | class    | below             |
      | request catalogue   | admitted    | answered | browsing | the caller        |
      | run catalogue       | admitted    | answered | browsing | request catalogue |
      | call inventory      | admitted    | answered | browsing | run catalogue     |
      | run inventory       | admitted    | answered | browsing | call inventory    |
      | request nothing     | no_upstream | not-run  | browsing | the caller        |
    And the upstream of "inventory" got the caller's trace id

  Scenario: A caller that records nothing is not recorded
    Given a collector of spans
    And a chain of services "catalogue"
    When 5 callers ask node "catalogue" for "/catalogue/page" within traces that are not recorded
    And a caller asks node "catalogue" for "/catalogue/page" within a recorded trace
    Then the collector has spans of 1 trace only
