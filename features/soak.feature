Feature: A soak with faults from outside keeps the promises

  Scenario: A short soak with a fixed seed finds no broken promise
    Guards against faults that come in series and overlap.
    When the soak plays seed 4 with 4 seconds of faults
    Then it ends with status 0 and reports at least 5 faults

  Scenario: A short soak of planned work alone breaks off no request
    Guards against requests that are cut by restarts, departures and changes.
    When the soak plays seed 3 with 4 seconds of faults
    Then it ends with status 0 and reports at least 4 faults

  Scenario: A short soak without faults refuses nobody inside a limit
    Guards against limits that refuse requests of an organisation inside them.
    When the soak plays seed 7 with 8 seconds without faults
    Then it ends with status 0 and reports at least 1 faults

  Scenario Outline: The soak finds a broken promise
    Guards against checks that cannot fail.
    Given a record in which <what>
    Then the checks of the soak find "<finding>"

    Examples:
      | what                                        | finding                     |
      | an unsafe request ran twice                 | ran 2 times                 |
      | a refused unsafe request ran                | was told 503 and ran        |
      | a request ran that nobody sent              | no client sent it           |
      | a request ran at another service            | ran as                      |
      | a request ran long after a departure        | after its departure         |
      | a service got 200 repeats of 10 requests    | repeats in a window         |
      | an answer was short                         | 3 bytes in place of 5       |
      | an answer belonged to another request       | answer to other             |
      | planned work cut a request that ran         | ended with 0                |
      | a request that did not run got 502 without a fault | got 502 without any fault |
      | a limited back end got 10 requests a second | named 3 requests a second   |
      | a back end that leaves got requests for 4 s | had passed on that it leaves |
      | pipelined answers came in another order     | answer to b                 |
      | a pipelined answer was missing              | ended with 0                |
      | an unread request ran before it was sent again | its connection closed before |

  Scenario Outline: The soak finds a broken promise to organisations
    Guards against checks of keys and limits that cannot fail.
    Given a record in which <what>
    Then the checks of the soak find "<finding>"

    Examples:
      | what                                                            | finding                    |
      | a request without a key ran                                     | without a known key        |
      | a request without a key was answered                            | without a known key        |
      | an anonymous request got 401                                    | needs no other key         |
      | a request with a key got 401                                    | needs no other key         |
      | a run named another organisation                                | in place of 'vine'         |
      | an anonymous run named an organisation                          | in place of ''             |
      | a key reached a back end                                        | with credentials           |
      | a withdrawn key was served after 6 s                            | after its key was          |
      | a withdrawn key was served after 10 s, the store away until 4 s | after its key was          |
      | a withdrawn key was served after 6 s, another node paused       | after its key was          |
      | a key was refused before its withdrawal                         | before its key was         |
      | a limited organisation ran 30 requests a second                 | allowed are 141            |
      | an organisation inside its limit is refused                     | which is inside its limit  |

  Scenario: The soak finds a key in a log
    Guards against a search for keys that cannot fail.
    Then a node that writes a key in its log is found

  Scenario: Faults of the store that are set at the same time do not collide
    Guards against a soak that ends in the middle, since the return of the
    store aborted the call that set another fault.
    Given a store
    When it returns from a copy 50 times while other faults are set
    Then no call that sets a fault fails

  Scenario: A late acknowledgement of an earlier state is no departure
    Guards against a back end that is back, and of which the record says that
    it has left, so that each of its requests is a finding.
    Given a back end that has said "draining" and waits for the acknowledgement
    When it says "ready", and both are acknowledged in turn
    Then its record ends with the report and the acknowledgement of "ready"

  Scenario: Requests behind a closing answer are sent again
    Guards against lost requests that the soak would report as broken off.
    Given a pipeline whose first answer closes the connection
    Then the requests behind it count as unread

  Scenario Outline: The soak finds nothing in a record without a fault
    Given a record in which <what>
    Then the checks of the soak find nothing

    Examples:
      | what                                        |
      | nothing went wrong                          |
      | a limited back end got what it names        |
      | a back end that leaves got requests for 2 s |
      | a back end got requests once it reported that it is back |
      | pipelined answers came in order             |
      | an unread request ran after it was sent again |
      | a request without a key got 401             |
      | a withdrawn key was served after 4 s        |
      | a withdrawn key was refused after 6 s       |
      | a withdrawn key was served after 8 s, the store away until 4 s |
      | a limited organisation ran 20 requests a second |
      | an organisation without a limit ran 60 requests a second |
