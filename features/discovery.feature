Feature: Nodes find each other through the store

  Scenario: Nodes that could not be reached are dialled again before the next read
    Guards against zones that were all restarted while they were cut from each
    other, and that stay apart for up to 90 s after the cut.
    Given the table of nodes lists a known node and one that cannot be reached
    When the node discovers others for 6 seconds
    Then it reads the table once and dials the other node at least twice
    When the node can be reached, for 4 seconds
    Then it dials the other node once more and no longer
