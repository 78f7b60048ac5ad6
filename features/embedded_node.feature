Feature: A Python caller may embed the first node

  Scenario: Requests of an embedded node reach upstreams and are counted
    Guards against a library that only the daemon can use.
    Given a chain of services "catalogue", "inventory"
    When an embedded node sends 50 requests to "/catalogue/page" and 1 to "/nowhere/x"
    Then 50 of its requests are whole and 1 is refused as not run
    And service "catalogue" ran 50 times
