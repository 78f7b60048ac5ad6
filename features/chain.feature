Feature: A request passes through real processes from end to end

  Scenario: A chain of four services answers through its nodes
    Given a chain of services "catalogue", "orders", "inventory", "freight"
    When a caller asks node "orders" for "/catalogue/page?echo=spring"
    Then the answer has status 200
    And the answer's JSON field "echo" is "spring"
    And each service of the chain ran 1 time

  Scenario: Interleaved answers reach their own callers
    Guards against answers that are matched to a wrong call.
    Given an upstream of "catalogue" with 1000 slots
    And a node "front" without an upstream
    When 1000 callers ask node "front" at once for "/catalogue/page" with shuffled delays
    Then each caller got the whole answer to its own request
    And node "front" has 1 connection to node "catalogue"

  Scenario: A large pattern passes whole with bounded memory
    Guards against a node that holds a whole body in memory.
    Given a chain of services "patterns"
    And a node "front" without an upstream
    When a slow reader downloads 64 MB from node "front" at "/patterns/star"
    Then the download is whole
    And no node grew by more than 24 MB

  Scenario: A large upload passes whole
    Given a chain of services "media"
    And a node "front" without an upstream
    When a caller posts 64 MB to node "front" at "/media/video"
    Then the answer has status 200
    And the answer's JSON field "received" is "67108864"

  Scenario Outline: A transfer that is cut reaches the customer as cut
    Guards against a short answer that looks complete.
    Given a chain of services "patterns"
    And a node "front" without an upstream
    When a caller downloads from node "front" at "/patterns/star?size=8000000&cut_at=3000000<form>"
    Then the download fails as incomplete

    Examples:
      | form       |
      |            |
      | &chunked=1 |
