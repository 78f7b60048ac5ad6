"""Runs a caller-made key under its claim row."""

import collections.abc

from expression import Error

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import claim_store
from oleanderknot.tasks import order_result

# Queries a node, by instance and incarnation, about the key of a call.
QueryFunction = collections.abc.Callable[
    [str, int, model.Call],
    collections.abc.Awaitable[order_result.CallResult],
]

RunFunction = collections.abc.Callable[
    [], collections.abc.Awaitable[order_result.CallResult]
]

REFUSED_STATES = (model.ClaimState.OWN, model.ClaimState.REFUSED)


async def run_claimed(
    call: model.Call,
    digest: bytes,
    *,
    claims: claim_store.ClaimStore,
    run: RunFunction,
    query_home: QueryFunction,
    refusal: model.Refusal | None,
) -> tuple[order_result.CallResult, bool]:
    """Run a call if its claim row lets this node run it.

    The key is claimed before the call gets a slot, so that a slow table
    service does not hold slots that other orders could use.

    Args:
        call: The call.
        digest: Digest of the request.
        claims: Claim rows.
        run: Admits the call and runs it.
        query_home: Queries another home about the key.
        refusal: Why the call cannot run, when that is known before.

    Returns:
        The result, and whether it is final for all repeats; otherwise a
        repeat resolves the key again.
    """
    claimed = refusal is None
    if claimed:
        claim = await claims.acquire(call.service, call.key, digest)
        if claim.state is not model.ClaimState.OWN:
            return await resolve_claim(call, digest, claim, claims, query_home)
        result = await run()
        if (
            result.is_ok()
            or result.error.verdict is model.Verdict.MAY_HAVE_RUN
        ):
            return result, True
        refusal = result.error
    claim = await claims.refuse(
        call.service, call.key, digest, claimed=claimed
    )
    if claim.state is model.ClaimState.OWN:
        return Error(refusal), True
    return await resolve_claim(call, digest, claim, claims, query_home)


async def resolve_claim(
    call: model.Call,
    digest: bytes,
    claim: model.Claim,
    claims: claim_store.ClaimStore,
    query_home: QueryFunction,
) -> tuple[order_result.CallResult, bool]:
    """Return the outcome of a key that this node does not hold."""
    if claim.state is model.ClaimState.UNKNOWN:
        # An earlier attempt at another node cannot be ruled out.
        result = order_result.refuse(
            call, model.Rule.CLAIM_UNKNOWN, claim.detail
        )
        return result, False
    if claim.digest and digest and claim.digest != digest:
        return order_result.refuse_key_reuse(call), False
    if claim.state is model.ClaimState.REFUSED:
        result = order_result.refuse(
            call,
            model.Rule.KEY_REFUSED,
            'the claim row of the key holds a refusal',
            model.Verdict.NOT_RUN,
        )
        return result, True
    own = claims.identity
    if (claim.instance, claim.incarnation) == (
        own.instance,
        own.incarnation,
    ):
        result = order_result.refuse(
            call,
            model.Rule.CLAIM_HELD,
            'this node has claimed the key and does not know the outcome',
        )
        return result, False
    result = await query_home(claim.instance, claim.incarnation, call)
    final = result.is_ok() or result.error.verdict is model.Verdict.NOT_RUN
    return result, final


async def refuse_claimed(
    call: model.Call, refusal: model.Refusal, claims: claim_store.ClaimStore
) -> order_result.CallResult:
    """Refuse a caller-made key that was sent to no node.

    Args:
        call: The call.
        refusal: Why it is refused; ``not run`` is reported only if the claim
            row holds a refusal.
        claims: Claim rows.

    Returns:
        The refusal.
    """
    claim = await claims.refuse(call.service, call.key, b'')
    if not decisions.is_certainly_not_run(
        claim_refused=claim.state in REFUSED_STATES
    ):
        refusal.verdict = model.Verdict.MAY_HAVE_RUN
    return Error(refusal)
