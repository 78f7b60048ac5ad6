Feature: An upstream that is leaving gets no new work (P6)

  Scenario Outline: No work starts later than 3 s after leaving, load goes on
    Given the nodes "one", "two" in "dc1"
    And the nodes "front" in "<place>"
    And upstreams of "catalogue" beside "one", "two"
    When load of 4 callers on "/catalogue" goes on through "front", "one"
    And the upstream beside "one" asks to leave
    Then the upstream beside "one" starts no work later than 3 s after that
    And every call of the load was answered and ran once
    And "one" becomes "leaving" at "front", "two"

    Examples:
      | place |
      | dc1   |
      | dc2   |

  Scenario Outline: A node that hears late of the leaving tries another one
    Guards against a leaving that the caller notices, when the news is still
    on its way.
    Given the delayed nodes "one", "two" in "dc1" with 50 ms each way
    And the delayed nodes "front" in "<place>" with 50 ms each way
    And upstreams of "catalogue" beside "one", "two"
    When load of 16 callers on "/catalogue" goes on through "front"
    And the upstream beside "one" asks to leave
    Then the upstream beside "one" starts no work later than 3 s after that
    And every call of the load was answered and ran once
    And a call was refused as leaving and ran elsewhere

    Examples:
      | place |
      | dc1   |
      | dc2   |

  Scenario: A node that is told to stop gets no new work either
    Given the nodes "front", "one", "two" in "dc1"
    And upstreams of "catalogue" beside "one", "two"
    When load of 4 callers on "/catalogue" goes on through "front"
    And node "one" gets SIGTERM
    Then node "one" exits with status 0
    And the upstream beside "one" starts no work later than 3 s after that
    And every call of the load was answered and ran once
    And "one" becomes "left" at "front", "two"

  Scenario: An upstream that announces itself again takes work again
    Given the nodes "front", "one" in "dc1"
    And upstreams of "catalogue" beside "one"
    When the upstream beside "one" asks to leave
    Then "one" becomes "leaving" at "front"
    And a call of "front" for "/catalogue/page" is refused as not run
    When the upstream beside "one" announces itself again
    Then "one" becomes "taking" at "front"
    And "one" serves calls of "front" for "/catalogue/page" again
