Feature: Upstreams that fail calls get fewer of them

  Scenario Outline: An upstream that fails fast does not draw calls
    Guards against an upstream that looks idle because it fails at once.
    Given 6 upstreams of which 2 fail <share> in 100 calls at once
    When 2000 calls of 60 ms are sent in 10 seconds
    Then at most <most> in 100 of the calls of the last 5 seconds went to the failing ones

    Examples:
      | share | most |
      | 100   | 5    |
      | 50    | 12   |
      | 25    | 20   |

  Scenario: An upstream that has recovered is used again
    Guards against one bad moment that costs an upstream for good.
    Given 6 upstreams of which 2 fail 100 in 100 calls at once
    When 2000 calls of 60 ms are sent in 10 seconds
    And no upstream fails any more
    And 2000 calls of 60 ms are sent in 10 seconds
    Then at least 20 in 100 of the calls of the last 5 seconds went to the failing ones

  Scenario: Upstreams that all fail alike share the calls
    Guards against calls that are sent in turn to the upstream that failed
    least, while a deeper service fails all.
    Given 6 upstreams of which 6 fail 50 in 100 calls at once
    When 2000 calls of 60 ms are sent in 10 seconds
    Then each upstream got at least 10 in 100 of the calls of the last 5 seconds

  Scenario: A single success does not clear an upstream
    Guards against an upstream that flaps.
    Given a share of failures after 20 failed calls
    When one call succeeds
    Then the share is above 0.5

  Scenario Outline: What a level may have become is not passed on as news
    Guards against guesses that each node of a chain takes for a report and
    raises further.
    Given an upstream that reported level 0.5 at time 2 and one that reported 0.25 at time 2
    Then the levels of their service at time <now> are <known> reported and <risen> by now

    Examples:
      | now | known | risen |
      | 2.0 | 0.5   | 0.5   |
      | 4.1 | 0.5   | 2.5   |
      | 5.7 | 4.0   | 4.0   |

  Scenario Outline: A service that cannot be reached admits nothing
    Guards against requests that start although a service that they need is
    behind a partition, and fail after the work above it was done.
    Given a node that knows two upstreams of a service, both open
    When <lost> of them cannot be reached
    Then the node estimates the levels of the service as <level>

    Examples:
      | lost | level |
      | 0    | 4.0   |
      | 1    | 4.0   |
      | 2    | 0.0   |

  Scenario: Only single requests test a level that was reported long ago
    Guards against trees of calls that all start at once, and all fail, when
    the report about a deep service has become old.
    Given an upstream whose route needs a service that reported 0.5 and may admit 2.9 by now
    When 200 requests of class 2 arrive
    Then 1 of them is let through
    When 200 requests of class 0 arrive
    Then between 80 and 120 of them are let through

  Scenario: Under overload whole requests are served, not a part of each
    Guards against trees of calls that all lose one of their calls.
    Given an upstream that ends 10 calls a second and requests of 4 calls each, 5 a second
    When they arrive for 60 seconds
    Then at least 60 in 100 of its calls belonged to requests that completed

  Scenario: A deep call does not go before a request of a better band
    Guards against a kind of request that always wins because its calls are
    deeper.
    Given calls that wait in one class: band 3 at depth 3, band 1 at depth 2, band 1 at depth 3
    Then they are served in the order 1/3, 1/2, 3/3

  Scenario: No class is left without any share
    Guards against a class that starves while a service lacks places.
    When 4000 requests with other ids arrive
    Then between 23 and 27 in 100 of them belong to the reserved share
    And their ranks are spread evenly

  Scenario Outline: An upstream is not filled to its last slots
    Guards against an upstream that slows down because it is nearly full.
    Given a node of a platform whose upstream has <slots> slots
    When 200 calls arrive at once
    Then <places> of them run

    Examples:
      | slots | places |
      | 29    | 27     |
      | 27    | 25     |
      | 1     | 1      |

  Scenario: No calls are sent to a node that stopped responding
    Guards against the calls of a second and a half that a cut swallows before
    its connections are found silent.
    Given a connection that responded until 0 s and expects a response
    Then it is not overdue at 0.4 s
    But it is overdue at 0.7 s, before it is found silent
    And it is not overdue at 0.8 s, after a response

  Scenario Outline: A node that does not respond is used only if no other is left
    Guards against orders that are lost in a cut while others could run them,
    or refused although the only node may still respond.
    Given a node that knows two upstreams of a service, both open
    When <lost> of them do not respond at the moment
    Then 50 calls go to "<used>"

    Examples:
      | lost | used |
      | 0    | a b  |
      | 1    | b    |
      | 2    | a b  |
