"""Rules that determine the outcome of a request."""

import enum


class Rule(enum.Enum):
    """Rule behind a decision; the values appear in logs."""

    ADMITTED = 'admitted'
    RETRIED = 'retried'
    BAD_REQUEST = 'bad_request'
    NO_ROUTE = 'no_route'
    NO_POLICY = 'no_policy'
    NO_UPSTREAM = 'no_upstream'
    LEAVING = 'leaving'
    NOT_TAKING_WORK = 'not_taking_work'
    LEVEL = 'level'
    QUEUE_FULL = 'queue_full'
    QUEUE_DELAY = 'queue_delay'
    DEADLINE = 'deadline'
    EARLY_REFUSAL = 'early_refusal'
    RETRY_ALLOWANCE = 'retry_allowance'
    RETRY_BUDGET = 'retry_budget'
    CALL_LOST = 'call_lost'
    CONNECTION_LOST = 'connection_lost'
    CONNECTION_REFUSED = 'connection_refused'
    WRONG_RECEIVER = 'wrong_receiver'
    UPSTREAM_CUT = 'upstream_cut'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_TIMEOUT = 'upstream_timeout'
    BODY_CUT = 'body_cut'
    BODY_TOO_LARGE = 'body_too_large'
    CALLER_LEFT = 'caller_left'
    KEY_REFUSED = 'key_refused'
    KEY_EXPIRED = 'key_expired'
    KEY_RUNNING = 'key_running'
    KEY_HOME_UNREACHABLE = 'key_home_unreachable'
    KEY_EARLIER_INCARNATION = 'key_earlier_incarnation'
    KEY_ANSWER_NOT_KEPT = 'key_answer_not_kept'
    KEY_RECORDS_FULL = 'key_records_full'
    CLAIM_HELD = 'claim_held'
    CLAIM_UNKNOWN = 'claim_unknown'
    INTERNAL_ERROR = 'internal_error'
    UPSTREAM_ERROR = 'upstream_error'
