Feature: Bytes that a faulty upstream sends cost no other request anything

  Background:
    Given a platform with the routes
      | name  | prefix  | kind   | service   |
      | page  | /page/  | safe   | catalogue |
      | order | /order/ | unsafe | orders    |
    And the instance "one" with a back end of "catalogue"
    And the instance "two" with a back end of "orders"
    And "one" serves "/order/ready" and "/page/ready"

  Scenario: A refusal that is sent once more is not taken for a later answer
    Guards against "not run" for an order that runs, or its second run, when
    an upstream repeats an earlier refusal on a kept connection.
    When a client of "one" sends POST "/order/1?fault=refuse_first&delay_ms=100" as each of
      | a1 |
      | a2 |
      | a3 |
      | a4 |
    Then each of them got status 200 and ran once

  Scenario Outline: An answer without an end is given up and bounded in memory
    Guards against a node that keeps what arrives until its memory is full, or
    whose caller hears of it only at the deadline.
    When 20 clients of "one" send POST "/order/1?fault=<fault>" at once
    Then all of them get status 502 before 4 s have passed
    And "two" used at most 160 MB of memory
    When a client of "one" sends GET "/page/1?size=7" as "b1"
    Then it gets status 200 and 7 bytes
    When a client of "one" sends POST "/order/2?size=9" as "b2"
    Then it gets status 200 and 9 bytes

    Examples:
      | fault              |
      | endless_bytes      |
      | endless_status     |
      | endless_header     |
      | endless_headers    |
      | endless_chunk_size |
      | endless_chunks     |
      | endless_trailers   |
      | endless_length     |
      | endless_unframed   |
      | endless_interim    |
      | endless_foreign    |

  Scenario Outline: Answers without an end leave nothing behind
    Guards against a node that still holds what it received of many answers
    after it has given them up, until it is killed for its memory.
    When 100 clients of "one" send POST "/order/1?fault=<fault>" at once, 3 times
    And a client of "two" sends GET "/page/1?size=7" as "b1" meanwhile
    Then none of them got status 200
    And "two" used at most 160 MB of memory
    And "one" used at most 160 MB of memory
    And every request meanwhile got status 200

    Examples:
      | fault              |
      | endless_bytes      |
      | endless_header     |
      | endless_headers    |
      | endless_chunk_size |
      | endless_chunks     |
      | endless_trailers   |
      | endless_length     |
      | endless_unframed   |
      | endless_interim    |

  Scenario: Nothing more is parsed of a connection that was given up
    Guards against an event loop that stands still for a second and more, so
    that other nodes hold this one for silent and lose their requests.
    Given a connection to an upstream that waits for an answer
    When one read brings 9000 interim responses
    Then at most 17 of them were parsed, and the request has failed

  Scenario: Uploads that are broken off leave nothing behind
    Guards against a node that still holds the bodies of clients that left.
    When 30 clients of "one" send 3900000 of 4000000 bytes to "/order/1" and leave, 5 times
    Then "one" used at most 160 MB of memory

  Scenario Outline: Large uploads at once do not exceed the memory of a node
    Guards against a few uploads within the operators' limit that end a node
    by its memory, and with it the requests of all others.
    When the largest body is set to 67108864 bytes
    And 6 clients of "<node>" send 48000000 bytes to "/order/1" at once
    And a client of "two" sends GET "/page/1?size=7" as "b1" meanwhile
    Then each upload got status 200 or 503, and at least one got 200
    And "one" used at most 300 MB of memory
    And "two" used at most 300 MB of memory
    And every request meanwhile got status 200

    Examples:
      | node |
      | one  |
      | two  |

  Scenario Outline: A hundred slow answers without an end are given up in time
    Guards against connections that stay in use as long as bytes arrive.
    When 100 clients of "one" send POST "/order/1?fault=<fault>&pace_ms=50" at once
    Then all of them get status 502, 503 or 504 before 4 s have passed
    And "two" used at most 160 MB of memory
    When a client of "one" sends POST "/order/2?size=9" as "c1"
    Then it gets status 200 and 9 bytes

    Examples:
      | fault          |
      | endless_length |
      | endless_chunks |

  Scenario: A store whose answers have no end costs no request anything
    Guards against a node that keeps what its store sends until its memory is
    full.
    When the store has the fault "endless" for 4 s
    Then "one" used at most 160 MB of memory
    And "two" used at most 160 MB of memory
    When a client of "one" sends POST "/order/2?size=9" as "d1"
    Then it gets status 200 and 9 bytes
    When the policy changes after the fault
    Then "one" and "two" have the new policy

  Scenario Outline: An answer that is cut at any byte is never passed on as whole
    Guards against a success with an empty or short body, framed as whole, when
    an upstream stops in the middle of its answer's head, or of its body.
    When a client of "one" sends POST "/order/1?size=<size>" cut after each of the first <bytes> bytes of an answer with framing "<framing>"
    Then no answer was passed on as whole
    When a client of "one" sends POST "/order/1?size=<size>" cut after each of the first <bytes> bytes of a later answer with framing "<framing>"
    Then no answer was passed on as whole

    Examples:
      | framing | size | bytes |
      | length  | 5    | head  |
      | chunked | 5    | head  |
      | none    | 5    | head  |
      | length  | 5    | all   |
      | chunked | 5    | all   |
