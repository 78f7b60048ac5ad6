"""What the outcome of one attempt of a routed call means."""

from oleanderknot import model

# Rules of refusals after which the call has reached no upstream. The next
# attempt after these is no repeat, since the call cost no upstream work.
UNREACHED_RULES = frozenset(
    (
        model.Rule.CALL_LOST,
        model.Rule.CONNECTION_REFUSED,
        model.Rule.EARLY_REFUSAL,
        model.Rule.LEAVING,
        model.Rule.LEVEL,
        model.Rule.NO_UPSTREAM,
        model.Rule.QUEUE_DELAY,
        model.Rule.QUEUE_FULL,
        model.Rule.RETRY_BUDGET,
    )
)

# Rules that count as a failure of an upstream or of the path to it. A call
# that was not admitted, or not answered in time, indicates only load.
FAILURE_RULES = frozenset(
    (
        model.Rule.CONNECTION_LOST,
        model.Rule.CONNECTION_REFUSED,
        model.Rule.UPSTREAM_CUT,
        model.Rule.UPSTREAM_REFUSED,
    )
)

# Lowest HTTP status that counts as a failure of the upstream.
MIN_SERVER_ERROR_STATUS = 500

# Rules that end the attempts: no time is left for another node either, or no
# memory for its response.
NON_RETRYABLE_RULES = (
    model.Rule.DEADLINE,
    model.Rule.NO_MEMORY,
    model.Rule.UPSTREAM_TIMEOUT,
)
