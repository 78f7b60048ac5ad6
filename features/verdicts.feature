Feature: A refusal counts all attempts of a request

  Scenario: A read whose first attempt ran is not told as not run
    Guards against the verdict of the last attempt hiding the first one.
    Given a chain of services "catalogue"
    And a node "front" without an upstream
    When the upstream of "catalogue" dies while it runs "/catalogue/page?delay_ms=3000" for node "front"
    Then the caller is told "may-have-run"
