Feature: Nodes find each other through the store

  Scenario: Nodes that could not be reached are dialled again before the next read
    Guards against zones that were all restarted while they were cut from each
    other, and that stay apart for up to 90 s after the cut.
    Given the table of nodes lists a known node and one that cannot be reached
    When the node discovers others for 6 seconds
    Then it reads the table once and dials the other node at least twice
    When the node can be reached, for 4 seconds
    Then it dials the other node once more and no longer

  Scenario Outline: The rows of nodes that are gone for good are removed
    Guards against instances that count as members for ever, and against a
    small group of nodes that removes the rows of those that it cannot reach.
    Given the node "<own>" knows "<live>" and has not reached "<unreached>" for <age> s
    When it looks for abandoned rows
    Then it removes "<removed>"

    Examples:
      | own | live  | unreached | age | removed |
      | a   | a,b,c | x         | 601 | x       |
      | a   | a,b,c | x         | 599 | nothing |
      | b   | a,b,c | x         | 601 | nothing |
      | a   | a,b   | x,y       | 601 | nothing |
      | a   | a,b,c | x,y       | 601 | x,y     |
      | a   | a,b,c | far       | 601 | nothing |
