"""Continuous background load for tests."""

import http.client
import itertools
import threading

from features.support import http as http_support


class BackgroundLoad:
    """Sends calls from several threads until it is stopped.

    Rounds over the URLs alternate between GET and POST. Each call has a unique
    path, so that runs at upstreams can be matched to calls.

    Attributes:
        answers: Status, rule and path of each completed call.
        errors: Exceptions of calls that got no response.
    """

    def __init__(self, urls: list[str], *, threads: int = 4) -> None:
        self.urls = urls
        self.answers: list[tuple[int, str, str]] = []
        self.errors: list[Exception] = []
        self.call_numbers = itertools.count()
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, daemon=True)
            for _ in range(threads)
        ]
        for thread in self.threads:
            thread.start()

    def run(self) -> None:
        """Send calls sequentially until stopped."""
        while not self.stopping.is_set():
            number = next(self.call_numbers)
            url = self.urls[number % len(self.urls)]
            path = '%s/%d' % (url, number)
            method = 'POST' if number // len(self.urls) % 2 else 'GET'
            try:
                status, headers, _ = http_support.request(method, path)
            except (OSError, http.client.HTTPException) as error:
                self.errors.append(error)
                continue
            rule = headers.get('oleanderknot-rule', '')
            self.answers.append((status, rule, path))

    def stop(self) -> None:
        """Stop sending and wait for the calls in flight."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
