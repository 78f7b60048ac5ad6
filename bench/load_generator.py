"""Open-loop load generator: the request rate is independent of responses."""

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
    """Sends requests of several kinds to several nodes at a given rate.

    Attributes:
        urls: Base URLs ``http://ip:port`` of the caller ports, used in
            rotation.
        kinds: Kinds of request, drawn by their weights.
        rng: Random number generator.
        attempt_timeout_s: Timeout of each attempt in seconds.
        max_retries: Maximum number of retries of a failed request.
        retry_delay_s: Delay before each retry in seconds.
        outcomes: Outcomes of all requests, ordered by start time.
        started_at: Event loop time at which the load started.
        max_lateness_s: Largest delay in seconds between the due time and
            the start of a request; a high value means that the instance was
            too busy for the run.
    """

    def __init__(
        self,
        *,
        urls: collections.abc.Sequence[str],
        kinds: collections.abc.Sequence[load_kind.LoadKind],
        seed: int,
        attempt_timeout_s: float = 2.0,
        max_retries: int = 0,
        retry_delay_s: float = 0.0,
    ) -> None:
        self.urls = urls
        self.kinds = kinds
        self.rng = random.Random(seed)
        self.attempt_timeout_s = attempt_timeout_s
        self.max_retries = max_retries
        self.retry_delay_s = retry_delay_s
        self.outcomes: list[load_outcome.LoadOutcome] = []
        self.started_at = 0.0
        self.max_lateness_s = 0.0

    def run(
        self,
        phases: Phases,
        events: collections.abc.Sequence[
            tuple[float, collections.abc.Callable[[], object]]
        ] = (),
    ) -> list[load_outcome.LoadOutcome]:
        """Send the load and wait for all outcomes.

        Args:
            phases: Requests per second and duration in seconds of each phase.
            events: Seconds from the start, and a function to call in a
                separate thread at that time.

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
        """Send all phases of the load and wait for the outcomes."""
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=self.attempt_timeout_s),
            ) as session,
            asyncio.TaskGroup() as group,
        ):
            for seconds, function in events:
                group.create_task(self.run_event(seconds, function))
            due = 0.0
            end = 0.0
            for rate, seconds in phases:
                end += seconds
                while due < end:
                    await asyncio.sleep(self.started_at + due - loop.time())
                    lateness_s = loop.time() - self.started_at - due
                    self.max_lateness_s = max(self.max_lateness_s, lateness_s)
                    group.create_task(self.send(session))
                    due += self.rng.expovariate(rate)
                due = end
        return self.outcomes

    async def run_event(
        self, seconds: float, function: collections.abc.Callable[[], object]
    ) -> None:
        """Call a function in a thread after a delay in seconds."""
        await asyncio.sleep(seconds)
        await asyncio.to_thread(function)

    async def send(self, session: aiohttp.ClientSession) -> None:
        """Send one request, with retries while it fails."""
        loop = asyncio.get_running_loop()
        (kind,) = self.rng.choices(
            self.kinds, [item.share for item in self.kinds]
        )
        outcome = load_outcome.LoadOutcome(
            kind=kind.name, started_s=loop.time() - self.started_at
        )
        self.outcomes.append(outcome)
        url = self.urls[len(self.outcomes) % len(self.urls)] + kind.path
        for attempt in range(1 + self.max_retries):
            if attempt:
                await asyncio.sleep(self.retry_delay_s)
            trace_id = '%032x' % self.rng.getrandbits(128)
            status, rule = await self.send_once(session, kind, url, trace_id)
            outcome.attempts.append((trace_id, status, rule))
            outcome.succeeded = status == 200
            if outcome.succeeded:
                break
        outcome.ended_s = loop.time() - self.started_at

    async def send_once(
        self,
        session: aiohttp.ClientSession,
        kind: load_kind.LoadKind,
        url: str,
        trace_id: str,
    ) -> tuple[int, str]:
        """Send one attempt and return its status and rule.

        The status is 0 if the attempt timed out or lost its connection.
        """
        headers = {'traceparent': '00-%s-%016x-00' % (trace_id, 1)}
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
