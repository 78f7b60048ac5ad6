Feature: One timer keeps the deadlines of all calls

  Scenario: Deadlines pass in order, whatever the order in which they were set
    Guards against a call that waits longer than its deadline, because the
    timer was set for a later one.
    When deadlines of 60, 20 and 40 ms are set
    Then those of 20, 40 and 60 ms pass in this order, none of them early

  Scenario: A deadline that was removed does not pass
    Guards against an answered call that is reported as late.
    When deadlines of 20, 40 and 60 ms are set
    And the one of 20 ms is removed at once
    Then those of 40 and 60 ms pass in this order, none of them early

  Scenario: A deadline is kept after all earlier ones were removed
    Guards against a call without a deadline, because the timer found nothing
    to do and was not set again.
    When deadlines of 20 and 60 ms are set
    And the one of 20 ms is removed at once
    And one of 40 ms is set when the first timer has fired
    Then those of 40 and 60 ms pass in this order, none of them early

  Scenario: A deadline that has passed when it is set passes at once
    Guards against a call that waits for ever, because its deadline was over
    before it was sent.
    When deadlines of 0 and 20 ms are set
    Then those of 0 and 20 ms pass in this order, none of them early
