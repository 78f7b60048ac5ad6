"""Requests of one organisation at a constant rate to several nodes."""

import collections
import http.client
import itertools
import threading
import time

# Threads for each node. A request that waits for a token must not delay the
# ones after it.
THREADS = 6


class OrganisationLoad:
    """Sends requests from several threads until it is stopped.

    Attributes:
        key: API key of the organisation.
        statuses: Number of responses by status.
        without_wait: Responses 429 that name no time for another attempt.
    """

    def __init__(self, *, name, key, addresses, rate, target):
        self.name = name
        self.key = key
        self.target = target
        self.statuses = collections.Counter()
        self.without_wait = 0
        self.numbers = itertools.count()
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        interval_s = THREADS * len(addresses) / rate
        self.threads = [
            threading.Thread(
                target=self.run,
                args=(address, interval_s, index * interval_s / THREADS),
                daemon=True,
            )
            for address in addresses
            for index in range(THREADS)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, address, interval_s, offset_s):
        """Send requests at fixed times until stopped."""
        due = time.monotonic() + offset_s
        connection = None
        while not self.stopping.wait(max(0.0, due - time.monotonic())):
            due = max(due + interval_s, time.monotonic() - interval_s)
            if connection is None:
                host, port = address.split(':')
                connection = http.client.HTTPConnection(
                    host, int(port), timeout=5
                )
            try:
                self.send(connection)
            except (OSError, http.client.HTTPException):
                self.statuses['lost'] += 1
                connection.close()
                connection = None

    def send(self, connection):
        """Send one request and count its response."""
        connection.request(
            'GET',
            self.target,
            headers={
                'Host': 'shop.example',
                'Request-Id': '%s-%d' % (self.name, next(self.numbers)),
                'Deadline-Milliseconds': '2000',
                'Authorization': 'Bearer ' + self.key,
            },
        )
        response = connection.getresponse()
        response.read()
        with self.lock:
            self.statuses[response.status] += 1
            if response.status == 429 and not response.getheader(
                'Retry-After'
            ):
                self.without_wait += 1

    def stop(self):
        """Stop sending and wait for the requests in flight."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
