Feature: Every customer gets the whole answer to their own request
  An answer may be refused or visibly cut, but never be short, mixed or
  somebody else's.

  Scenario Outline: <count> callers while <fault>
    Guards against answers that are matched to a wrong call or joined wrongly.
    Given an upstream of "patterns" behind a fault proxy
    And a node "front" behind a fault proxy
    When <count> callers download their own patterns from node "front" while <fault>
    Then no caller got a short, mixed or foreign answer
    And at least <share> of 100 callers got their whole answer

    Examples:
      | count | fault                                | share |
      | 400   | messages arrive out of order         | 0     |
      | 400   | messages arrive late                 | 100   |
      | 400   | open connections go silent           | 1     |

  Scenario: Callers while connections are cut again and again, and after that
    Guards against a path that stays broken when the cuts have ended.
    Given an upstream of "patterns" behind a fault proxy
    And a node "front" behind a fault proxy
    When 400 callers download their own patterns from node "front" while connections are cut again and again
    Then no caller got a short, mixed or foreign answer
    When 40 callers download their own patterns from node "front" while nothing fails
    Then no caller got a short, mixed or foreign answer
    And at least 100 of 100 callers got their whole answer

  Scenario: Answers of an earlier connection and unknown numbers are dropped
    Guards against a late answer that meets a reused call number.
    Given a peer that answers with the numbers and sessions of other calls
    When a node sends 3 calls to this peer
    Then each call is refused as may-have-run and none gets a foreign answer

  Scenario: A malformed message ends only its own connection
    Guards against a bad peer that harms other calls.
    Given an upstream of "patterns" behind a fault proxy
    And a node "front" without an upstream
    When 200 random byte strings are sent to the peer port of node "patterns"
    Then node "patterns" counts at least 1 "peer.bad_frame"
    And a caller gets "/patterns/star?echo=fine" from node "front"
