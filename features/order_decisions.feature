Feature: Decisions about order keys on a passed-in clock

  Scenario Outline: A home key survives formatting and parsing
    When an order key of home "<home>" incarnation <incarnation> made at <second> is formatted and parsed
    Then the parsed order key is the same

    Examples:
      | home         | incarnation        | second     |
      | a            | 1                  | 0          |
      | orders-1.qld | 1846744073709551615 | 1790000000 |

  Scenario Outline: A malformed home key is an error, another key is the caller's own
    When the order key text "<text>" is parsed
    Then the order key is <kind>

    Examples:
      | text                               | kind        |
      | my-order-17                        | caller-made |
      | ok1                                | caller-made |
      | ok1~a~1~1                          | malformed   |
      | ok1~a~1~1~short                    | malformed   |
      | ok1~A~1~1~0123456789abcdef         | malformed   |
      | ok1~a~-1~1~0123456789abcdef        | malformed   |
      | ok1~a~1~1~0123456789abcdef~x       | malformed   |

  Scenario Outline: A key is accepted for ten minutes and five seconds of clock difference
    When an order key of age <age> s is checked
    Then the order key is <verdict>

    Examples:
      | age   | verdict  |
      | -5    | accepted |
      | -5.5  | expired  |
      | 0     | accepted |
      | 600   | accepted |
      | 600.5 | expired  |

  Scenario: One request of a key runs and repeats get its result
    Given order records for 3 keys and 1000 bytes
    When order "k" with digest "d" begins at 100
    Then the order decision is "run"
    When order "k" with digest "d" begins at 101
    Then the order decision is "join"
    When order "k" with digest "other" begins at 101
    Then the order decision is "other_request"
    When order "k" is answered with 100 bytes
    And order "k" with digest "d" begins at 102
    Then the order decision is "same_result"

  Scenario: A refused key never runs
    Guards against a delayed copy of a request that runs after `not run`.
    Given order records for 3 keys and 1000 bytes
    When order "k" is refused before it begins at 100
    And order "k" with digest "d" begins at 101
    Then the order decision is "refused"

  Scenario: Full records refuse new keys and drop none before its time
    Given order records for 3 keys and 1000 bytes
    When orders 1 to 3 begin and are answered with 10 bytes each at 100
    And order "k" with digest "d" begins at 700
    Then the order decision is "full"
    When order "1" with digest "d" begins at 700
    Then the order decision is "same_result"
    When order "k" with digest "d" begins at 701
    Then the order decision is "run"

  Scenario: A running record is kept past its time
    Given order records for 3 keys and 1000 bytes
    When order "k" with digest "d" begins at 100
    And order "k" with digest "d" begins at 5000
    Then the order decision is "join"

  Scenario: An answer without room is given once
    Given order records for 3 keys and 1000 bytes
    When order "k" with digest "d" begins at 100
    And order "k" is answered with 1001 bytes
    And order "k" with digest "d" begins at 101
    Then the order decision is "not_kept"

  Scenario: A clock that steps back revives no key
    Guards against a key that runs again after its record was dropped.
    Given order records for 3 keys and 1000 bytes
    When orders 1 to 1 begin and are answered with 10 bytes each at 100
    And order "k" with digest "d" begins at 701
    And order "1" begins again at 650 with the end of its time at 700
    Then the order decision is "expired"

  Scenario Outline: A question about a key is answered by its record
    When the home is asked at 100 about a key made at <made> for incarnation <incarnation> whose record is "<record>"
    Then the home answers "<answer>" and <does> a tombstone

    Examples:
      | made | incarnation | record  | answer  | does         |
      | 100  | 7           | none    | refused | writes       |
      | 100  | 7           | running | running | does without |
      | 100  | 7           | done    | done    | does without |
      | 100  | 7           | refused | refused | does without |
      | 100  | 6           | none    | unknown | does without |
      | -501 | 7           | none    | unknown | does without |
      | -501 | 7           | done    | done    | does without |

  Scenario Outline: Not run is said only when it is certain
    When a key is known by "<knowledge>"
    Then not run <may> be said

    Examples:
      | knowledge                  | may     |
      |                            | may not |
      | tombstone                  | may     |
      | claim_refused              | may     |
      | own_attempt sent           | may not |
      | own_attempt                | may     |

  Scenario Outline: A copy of a call's first frame is not taken for a new call
    Guards against a second run by a frame that arrives twice.
    When a peer opens calls with the numbers "<numbers>"
    Then the calls are taken as "<taken>"

    Examples:
      | numbers         | taken           |
      | 1 3 5           | yes yes yes     |
      | 1 1             | yes no          |
      | 1 5 3 3         | yes yes yes no  |
      | 2 4 2           | yes yes no      |
      | 1 99999999      | yes no          |

  Scenario: Repeats of a key draw on one account for ten minutes
    Given key accounts for 2 keys
    Then the requests of key "k" with 2 retries at 0, 1, 2, 3 are "yes yes yes no"
    And the requests of key "other" with 2 retries at 4, 5 are "yes yes"
    And the requests of key "third" with 2 retries at 6 are "no"
    And the requests of key "k" with 2 retries at 600, 601 are "no yes"
