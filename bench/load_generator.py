"""Sends mixed load at a rate that does not depend on the answers."""

import asyncio
import collections.abc
import random

import aiohttp
import uvloop

from bench import load_kind
from bench import load_outcome

Phases = collections.abc.Sequence[tuple[float, float]]

RULE_HEADER = 'Oleanderknot-Rule'


class LoadGenerator:
    """Sends requests of several kinds to several nodes.

    Attributes:
        urls: Addresses ``http://ip:port`` of the callers' ports, used in
            turn.
        kinds: Kinds of request.
        rng: Source of randomness.
        patience_s: Seconds that a client waits for each attempt.
        repeats: Times that a client repeats a failed request.
        pause_s: Seconds that a client waits before it repeats.
        outcomes: Outcome of each request in order of their start.
        latest_s: Most seconds that a request was sent after it was due; a
            high value says that the instance was too busy for the run.
    """

    def __init__(
        self,
        *,
        urls: collections.abc.Sequence[str],
        kinds: collections.abc.Sequence[load_kind.LoadKind],
        seed: int,
        patience_s: float = 2.0,
        repeats: int = 0,
        pause_s: float = 0.0,
    ) -> None:
        self.urls = urls
        self.kinds = kinds
        self.rng = random.Random(seed)
        self.patience_s = patience_s
        self.repeats = repeats
        self.pause_s = pause_s
        self.outcomes: list[load_outcome.LoadOutcome] = []
        self.started_at = 0.0
        self.latest_s = 0.0

    def run(
        self,
        phases: Phases,
        events: collections.abc.Sequence[
            tuple[float, collections.abc.Callable[[], object]]
        ] = (),
    ) -> list[load_outcome.LoadOutcome]:
        """Send the load and wait for all outcomes.

        Args:
            phases: Requests a second and seconds of each phase.
            events: Seconds from the start, and a function that is then
                called in a thread of its own.

        Returns:
            The outcomes.
        """
        return uvloop.run(self.send_phases(phases, events))

    async def send_phases(
        self,
        phases: Phases,
        events: collections.abc.Sequence[
            tuple[float, collections.abc.Callable[[], object]]
        ],
    ) -> list[load_outcome.LoadOutcome]:
        """Send the load within a running event loop."""
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=self.patience_s),
            ) as session,
            asyncio.TaskGroup() as group,
        ):
            for seconds, function in events:
                group.create_task(self.fire(seconds, function))
            due = 0.0
            end = 0.0
            for rate, seconds in phases:
                end += seconds
                while due < end:
                    await asyncio.sleep(self.started_at + due - loop.time())
                    late = loop.time() - self.started_at - due
                    self.latest_s = max(self.latest_s, late)
                    group.create_task(self.send(session))
                    due += self.rng.expovariate(rate)
                due = end
        return self.outcomes

    async def fire(
        self, seconds: float, function: collections.abc.Callable[[], object]
    ) -> None:
        """Call a function at its time."""
        await asyncio.sleep(seconds)
        await asyncio.to_thread(function)

    async def send(self, session: aiohttp.ClientSession) -> None:
        """Send one request, and again while it fails."""
        loop = asyncio.get_running_loop()
        (kind,) = self.rng.choices(
            self.kinds, [item.share for item in self.kinds]
        )
        outcome = load_outcome.LoadOutcome(
            kind=kind.name, started_s=loop.time() - self.started_at
        )
        self.outcomes.append(outcome)
        url = self.urls[len(self.outcomes) % len(self.urls)] + kind.path
        for attempt in range(1 + self.repeats):
            if attempt:
                await asyncio.sleep(self.pause_s)
            trace = '%032x' % self.rng.getrandbits(128)
            status, rule = await self.send_once(session, kind, url, trace)
            outcome.attempts.append((trace, status, rule))
            outcome.whole = status == 200
            if outcome.whole:
                break
        outcome.ended_s = loop.time() - self.started_at

    async def send_once(
        self,
        session: aiohttp.ClientSession,
        kind: load_kind.LoadKind,
        url: str,
        trace: str,
    ) -> tuple[int, str]:
        """Send one attempt and read its whole answer."""
        headers = {'traceparent': '00-%s-%016x-00' % (trace, 1)}
        if kind.deadline_ms:
            headers['Oleanderknot-Deadline-Ms'] = str(kind.deadline_ms)
        try:
            async with session.request(
                kind.method, url, headers=headers
            ) as answer:
                await answer.read()
                return answer.status, answer.headers.get(RULE_HEADER, '')
        except (aiohttp.ClientError, TimeoutError):
            return 0, ''
