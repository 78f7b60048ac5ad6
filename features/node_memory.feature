Feature: The memory of a node has one owner and a stated order

  Scenario Outline: Holders give way in the order of their kinds
    Guards against a crowd of slow clients for which others lose their
    responses, and against work that is dropped while it runs.
    Given a node with 1600000 bytes of memory and the holders
      | name   | kind     | size   | rate    |
      | slow   | CLIENT   | 200000 | 900     |
      | slower | CLIENT   | 100000 | 10      |
      | fast   | CLIENT   | 200000 | 9000000 |
      | kept   | KEPT     | 100000 |         |
      | stuck  | PEER     | 200000 | 0       |
      | large  | RESPONSE | 400000 |         |
      | runs   | RUNNING  | 300000 |         |
    When another one needs <size> bytes
    Then it <outcome> and "<names>" give way

    Examples:
      | size    | outcome    | names                         |
      | 80000   | gets them  | slower                        |
      | 200000  | gets them  | slower, slow                  |
      | 350000  | gets them  | slower, slow, kept            |
      | 500000  | gets them  | slower, slow, kept, stuck     |
      | 900000  | is refused |                               |

  Scenario: The largest response gives way to smaller ones
    Guards against one response without an end that costs all others theirs.
    Given a node with 1600000 bytes of memory and the holders
      | name  | kind     | size   | rate |
      | small | RESPONSE | 300000 |      |
      | large | RESPONSE | 900000 |      |
      | runs  | RUNNING  | 300000 |      |
    When another one needs 200000 bytes
    Then it gets them and "large" give way

  Scenario: The last part of the memory is left to small holders
    Guards against ordinary requests that are refused as bodies take all.
    Given a node with 1600000 bytes of memory and the holders
      | name | kind    | size    | rate |
      | runs | RUNNING | 1499000 |      |
    When another one needs 70000 bytes
    Then it is refused and "" give way
    When another one needs 60000 bytes
    Then it gets them and "" give way

  Scenario: A body that was dropped does not pass for a complete one
    Guards against a response that is cut where its memory was needed, and that
    its client takes for whole.
    Given a body of another node that is complete and not read
    When it gives way
    Then its reader gets an error and no part of it

  Scenario Outline: Progress is measured in bytes within a period
    Guards against a client that holds its connection with a byte now and then
    or is cut off although it goes on slowly.
    Given a transfer of which 64 bytes are wanted in 15 s
    When <size> bytes come every <interval> s for 60 s
    Then the transfer is <state>

    Examples:
      | size  | interval | state                |
      | 0     | 1        | stalled and slow     |
      | 1     | 1        | stalled and slow     |
      | 40    | 5        | not stalled but slow |
      | 1000  | 1        | not stalled but slow |
      | 70000 | 1        | neither              |

  Scenario: The rate is that of the latest second
    Guards against a client that sends much at once, and then keeps it here
    without an end.
    Given a transfer of which 64 bytes are wanted in 15 s
    When 9000000 bytes come every 1 s for 10 s
    And 0 bytes come every 1 s for 3 s
    Then the transfer is not stalled but slow

  Scenario: Small chunks are parsed in turns
    Guards against one read of a client that stops the event loop, and with it
    the requests of all others.
    Given a client connection
    When the client sends one read of 40000 chunks of one byte
    Then at most 2500 of them are parsed at once
    And the connection reads no more
    When the loop goes on until the bytes are parsed
    Then the connection holds 40000 to 60000 bytes
    And the connection reads again

  Scenario: A client whose request is complete does not give way
    Guards against a request that runs and is cut, since its client had sent it
    slowly.
    Given a client connection
    When the client sends a body slowly, and more memory is needed
    Then the client may give way
    When the client sends the rest of the body
    Then the requests "1" run and "" are answered
    And the client may not give way

  Scenario: A connection that is lost holds nothing, whatever it still does
    Guards against memory that is counted for ever.
    Given a client connection
    When the client sends one read of 40000 chunks of one byte
    And the client disconnects
    Then nothing is held

  Scenario Outline: A full listener closes connections without a request first
    Guards against clients that only open connections, and so keep all others
    out.
    Given a listener for 3 connections with <held>
    When a new connection comes
    Then the closed connection is <closed>

    Examples:
      | held                     | closed  |
      | idle, opened, idle       | opened  |
      | idle, head, idle         | head    |
      | idle, head, opened       | opened  |
      | idle, idle, idle         | the new |
