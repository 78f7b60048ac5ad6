"""Generates the customer traffic of the demo."""

import asyncio
import random
import time

import aiohttp

from oleanderknot.cli.demo import demo_system
from oleanderknot.cli.demo import outcome
from oleanderknot.cli.demo import phase_result

# Method and path of each kind of request, and the relative frequencies.
REQUESTS_BY_KIND = {
    'page': ('GET', '/catalogue/page'),
    'order': ('POST', '/orders/place'),
    'lookup': ('GET', '/inventory/lookup'),
}
KIND_WEIGHTS = {'page': 5, 'order': 2, 'lookup': 5}

REQUEST_TIMEOUT_S = 5


class TrafficGenerator:
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
        self,
        name: str,
        *,
        rate: float,
        duration_s: float,
        max_attempts: int = 1,
    ) -> phase_result.PhaseResult:
        """Send requests for one phase and wait for all answers.

        Args:
            name: Name of the phase.
            rate: Requests per second.
            duration_s: Duration of the phase.
            max_attempts: Maximum attempts for a request that was not run.

        Returns:
            The outcomes of the requests.
        """
        result = phase_result.PhaseResult(name=name, duration_s=duration_s)
        kinds = list(KIND_WEIGHTS)
        weights = list(KIND_WEIGHTS.values())
        loop = asyncio.get_running_loop()
        start_time = loop.time()
        tasks = []
        for index in range(int(rate * duration_s)):
            delay_s = start_time + index / rate - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            kind = self.rng.choices(kinds, weights)[0]
            tasks.append(
                asyncio.create_task(self.send(kind, result, max_attempts))
            )
        await asyncio.gather(*tasks)
        return result

    async def send(
        self, kind: str, result: phase_result.PhaseResult, max_attempts: int
    ) -> None:
        """Send a request and retry immediately while it is not run."""
        for _ in range(max_attempts):
            start_time = time.monotonic()
            request_outcome = await self.send_once(kind)
            if request_outcome is not outcome.Outcome.NOT_RUN:
                break
        result.outcomes[kind, request_outcome] += 1
        if request_outcome is outcome.Outcome.WHOLE and kind != 'lookup':
            result.latencies_ms.append((time.monotonic() - start_time) * 1000)

    async def send_once(self, kind: str) -> outcome.Outcome:
        """Send a request once and classify its answer."""
        method, path = REQUESTS_BY_KIND[kind]
        instance = self.rng.choice(self.system.instances)
        url = 'http://%s:%d%s' % (
            demo_system.HOST,
            instance.get_caller_port(),
            path,
        )
        try:
            async with self.session.request(method, url) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return outcome.Outcome.FAILED
        if response.status == 200:
            return outcome.Outcome.WHOLE
        verdict = response.headers.get('Oleanderknot-Verdict')
        if verdict == 'not-run':
            return outcome.Outcome.NOT_RUN
        if verdict == 'may-have-run':
            return outcome.Outcome.MAY_HAVE_RUN
        return outcome.Outcome.FAILED

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
