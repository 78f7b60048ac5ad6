"""Generates the customer traffic of the demo."""

import asyncio
import random
import time

import aiohttp

from oleanderknot.cli.demo import demo_system
from oleanderknot.cli.demo import outcome
from oleanderknot.cli.demo import phase_result

# Method and path of each kind of request, and the relative frequencies.
KINDS = {
    'page': ('GET', '/catalogue/page'),
    'order': ('POST', '/orders/place'),
    'lookup': ('GET', '/inventory/lookup'),
}
WEIGHTS = {'page': 5, 'order': 2, 'lookup': 5}

REQUEST_TIMEOUT_S = 5


class Traffic:
    """Sends requests to random nodes at a constant rate.

    Attributes:
        system: The system under load.
        session: HTTP client session for all nodes.
        rng: Random number generator.
    """

    def __init__(self, *, system: demo_system.DemoSystem, seed: int) -> None:
        self.system = system
        self.rng = random.Random(seed)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )

    async def run(
        self, name: str, *, rate: float, seconds: float, tries: int = 1
    ) -> phase_result.PhaseResult:
        """Send requests for one phase and wait for all answers.

        Args:
            name: Name of the phase.
            rate: Requests per second.
            seconds: Duration of the phase.
            tries: Maximum attempts for a request that was not run.

        Returns:
            The outcomes of the requests.
        """
        result = phase_result.PhaseResult(name=name, seconds=seconds)
        kinds = list(WEIGHTS)
        weights = list(WEIGHTS.values())
        loop = asyncio.get_running_loop()
        started = loop.time()
        tasks = []
        for index in range(int(rate * seconds)):
            pause = started + index / rate - loop.time()
            if pause > 0:
                await asyncio.sleep(pause)
            kind = self.rng.choices(kinds, weights)[0]
            tasks.append(asyncio.create_task(self.send(kind, result, tries)))
        await asyncio.gather(*tasks)
        return result

    async def send(
        self, kind: str, result: phase_result.PhaseResult, tries: int
    ) -> None:
        """Send a request and retry immediately while it is not run."""
        for _ in range(tries):
            started = time.monotonic()
            found = await self.send_once(kind)
            if found is not outcome.Outcome.NOT_RUN:
                break
        result.outcomes[kind, found] += 1
        if found is outcome.Outcome.WHOLE and kind != 'lookup':
            result.times_ms.append((time.monotonic() - started) * 1000)

    async def send_once(self, kind: str) -> outcome.Outcome:
        """Send a request once and classify its answer."""
        method, path = KINDS[kind]
        item = self.rng.choice(self.system.instances)
        url = 'http://%s:%d%s' % (
            demo_system.HOST,
            item.find_caller_port(),
            path,
        )
        try:
            async with self.session.request(method, url) as answer:
                await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return outcome.Outcome.FAILED
        if answer.status == 200:
            return outcome.Outcome.WHOLE
        verdict = answer.headers.get('Oleanderknot-Verdict')
        if verdict == 'not-run':
            return outcome.Outcome.NOT_RUN
        if verdict == 'may-have-run':
            return outcome.Outcome.MAY_HAVE_RUN
        return outcome.Outcome.FAILED

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
