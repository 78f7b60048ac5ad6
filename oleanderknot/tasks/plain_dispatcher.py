"""Dispatcher of a node that forwards calls without overload control."""

import collections.abc
import dataclasses
import time

from expression import Error
from expression import Result

from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.tasks import dispatcher

# A common setting of proxies; the retries of the layers of a call chain
# multiply.
MAX_RETRIES = 3

MIN_SERVER_ERROR_STATUS = 500


class PlainDispatcher(dispatcher.Dispatcher):
    """Sends calls to random upstreams and retries every failure.

    It neither limits retries across the call chain nor considers load. It
    serves only as the baseline against which overload control is measured.
    """

    async def dispatch(
        self,
        call: model.Call,
        account: decisions.ChainAccount,
        content: bytes,
        body: model.Body | None,
    ) -> Result[model.Answer, model.Refusal]:
        """Send a call and retry it up to ``MAX_RETRIES`` times."""
        # A plain proxy does not know which requests are not idempotent.
        call = dataclasses.replace(call, idempotent=True)
        result: Result[model.Answer, model.Refusal] | None = None
        for _ in range(1 + MAX_RETRIES):
            member = self.choose(call, set())
            if member is None:
                return Error(self.refuse_early(call))
            result = await self.attempt(member, call, content, body, 0.0)
            failed = (
                result.is_error()
                or result.ok.status >= MIN_SERVER_ERROR_STATUS
            )
            if (
                not failed
                or body is not None
                or time.monotonic() >= call.deadline
            ):
                break
        return result

    def choose(
        self, call: model.Call, tried: collections.abc.Set[str]
    ) -> model.Member | None:
        """Choose a random node whose upstream admits calls."""
        members = [
            member
            for member in self.members.list_service(call.service)
            if member.state in decisions.ADMITTING_STATES
        ]
        return self.rng.choice(members) if members else None
