"""Answers queries about the state of order keys."""

import collections.abc
import dataclasses
import time

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import wire
from oleanderknot.tasks import claim_store
from oleanderknot.tasks import order_claim
from oleanderknot.tasks import order_result
from oleanderknot.tasks import order_table


class KeyQueryHandler:
    """Reports the state of keys that this node may be the home of.

    Attributes:
        identity: Identity of this node.
        find_service: Returns the service of the own upstream.
        claims: Claim rows of caller-made keys.
        table: Records and running tasks.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        find_service: collections.abc.Callable[[], str],
        claims: claim_store.ClaimStore,
        table: order_table.OrderTable,
    ) -> None:
        self.identity = identity
        self.find_service = find_service
        self.claims = claims
        self.table = table
        self.records = table.records

    async def describe(self, text: str, wait_s: float) -> wire.KeyState:
        """Return the state of a key; an unseen key is refused permanently.

        Args:
            text: The key.
            wait_s: Seconds to wait for a running request.

        Returns:
            The state of the key.
        """
        now = time.time()
        try:
            key = decisions.parse_order_key(text)
        except ValueError:
            return wire.build_key_state(model.OrderState.UNKNOWN)
        if key is None:
            self.refuse_unclaimed(text, now)
        await self.table.join(text, wait_s)
        record = self.records.find(text, now)
        if key is not None and not self.table.tasks.get(text):
            record, unknown_state = self.refuse_unseen(text, key, record, now)
            if unknown_state is not None:
                return unknown_state
        return order_result.describe_record(record)

    def refuse_unseen(
        self,
        text: str,
        key: model.OrderKey,
        record: decisions.OrderRecord | None,
        now: float,
    ) -> tuple[decisions.OrderRecord | None, wire.KeyState | None]:
        """Record the refusal of an unseen home key, if this is allowed."""
        answer = decisions.answer_query(
            key, record, home=self.identity, now=self.records.now
        )
        refusal = model.Refusal(
            verdict=model.Verdict.NOT_RUN,
            rule=model.Rule.KEY_REFUSED,
            service=self.find_service(),
            detail='the request never reached the home of its key',
        )
        if answer.tombstone:
            if self.records.refuse(
                text,
                refusal=refusal,
                expires_at=key.created_at + decisions.KEY_RETENTION_S,
            ):
                return self.records.records[text], None
            answer = dataclasses.replace(
                answer,
                state=model.OrderState.UNKNOWN,
                rule=model.Rule.KEY_RECORDS_FULL,
            )
        if answer.state is not model.OrderState.UNKNOWN:
            return record, None
        refusal.verdict = model.Verdict.MAY_HAVE_RUN
        refusal.rule = answer.rule
        refusal.detail = 'the home of the key does not know it'
        return None, wire.build_key_state(
            model.OrderState.UNKNOWN, refusal=refusal
        )

    def refuse_unclaimed(self, text: str, now: float) -> None:
        """Start a task that refuses an unseen caller-made key."""
        decision = self.records.begin(
            text,
            digest=b'',
            expires_at=now + decisions.KEY_RETENTION_S,
            now=now,
        )
        if decision is model.KeyDecision.RUN:
            self.table.start(text, self.refuse_claim(text))

    async def refuse_claim(self, text: str) -> None:
        """Record the refusal of a caller-made key in its claim row."""
        refused = False
        try:
            claim = await self.claims.refuse(self.find_service(), text, b'')
            refused = claim.state in order_claim.REFUSED_STATES
        finally:
            self.table.end(text)
            if refused:
                refusal = model.Refusal(
                    verdict=model.Verdict.NOT_RUN,
                    rule=model.Rule.KEY_REFUSED,
                    service=self.find_service(),
                    detail='the request never reached the chosen node',
                )
                record = self.records.records[text]
                self.records.refuse(
                    text, refusal=refusal, expires_at=record.expires_at
                )
            else:
                self.records.discard(text)
