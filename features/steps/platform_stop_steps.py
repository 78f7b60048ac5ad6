"""Steps that stop or suspend nodes while clients send requests."""

import http.client
import itertools
import json
import re
import signal
import socket
import threading
import time

from behave import then
from behave import when

from features.support import wait

# Statuses that end a request that a back end has run: its own answer, or that
# the time of the request has passed.
COMPLETION_STATUSES = (200, 504)

# Ten requests of 700 ms are in flight at any time.
REQUEST_INTERVAL_S = 0.07


class ConstantRateClients:
    """Sends requests at a constant rate until it is stopped.

    Attributes:
        answers: Status by request id.
        sent: Ids of all requests.
    """

    def __init__(self, fleet, name, target):
        self.fleet = fleet
        self.name = name
        self.target = target
        self.answers = {}
        self.sent = []
        self.stopped = threading.Event()
        self.threads = []
        self.pacer = threading.Thread(target=self.run)
        self.pacer.start()

    def run(self):
        """Start one request after each pause."""
        for number in itertools.count():
            if self.stopped.wait(REQUEST_INTERVAL_S):
                return
            thread = threading.Thread(
                target=self.send, args=('load-%d' % number,)
            )
            thread.start()
            self.threads.append(thread)

    def send(self, request_id):
        """Send one request on a connection of its own."""
        self.sent.append(request_id)
        try:
            status, _, _ = self.fleet.send(
                self.name, self.target, request_id=request_id, wait_ms=2000
            )
        except (OSError, http.client.HTTPException):
            return
        self.answers[request_id] = status

    def stop(self):
        """Stop sending and wait for outstanding answers."""
        self.stopped.set()
        self.pacer.join()
        for thread in self.threads:
            thread.join()


@when(
    'clients of "{name}" send GET "{target}" on new connections all the time'
)
def start_clients(context, name, target):
    """Send requests in the background until the answers are checked."""
    context.clients = ConstantRateClients(context.fleet, name, target)
    context.add_cleanup(context.clients.stop)
    wait.wait_until(
        lambda: len(context.clients.answers) >= 3, 'requests are answered'
    )


@then('every request that a back end ran was answered to its client')
def check_answers(context):
    """Compare the runs of the back ends with the answers."""
    time.sleep(1.0)
    context.clients.stop()
    ran = {run['id'] for run in context.fleet.list_runs()}
    lost = [
        request_id
        for request_id in context.clients.sent
        if request_id in ran
        and context.clients.answers.get(request_id) not in COMPLETION_STATUSES
    ]
    assert not lost, lost


@then('the log of "{name}" holds JSON lines only')
def check_json(context, name):
    """Check that the end of the process has written no plain text."""
    text = context.fleet.sidecars[name].process.read_log()
    for line in text.splitlines():
        json.loads(line)


@when('the node of "{name}" is paused')
def pause_node(context, name):
    """Suspend a node; its sockets stay open."""
    context.fleet.sidecars[name].process.send_signal(signal.SIGSTOP)


@when('the node of "{name}" goes on')
def resume_node(context, name):
    """Resume a paused node."""
    context.fleet.sidecars[name].process.send_signal(signal.SIGCONT)


@when('a client of "{name}" sends "{prefix}" for {span_s:g} seconds')
def send_for(context, name, prefix, span_s):
    """Send requests one after another and keep when and how each ended."""
    start = time.monotonic()
    context.outcomes = []
    number = 0
    while (sent_at := time.monotonic()) < start + span_s:
        number += 1
        status, _, _ = context.fleet.send(
            name, prefix + str(number), request_id='s%d' % number
        )
        ended = time.monotonic()
        context.outcomes.append((sent_at - start, status, ended - sent_at))
        time.sleep(0.05)


@then(
    'after {after_s:g} seconds each one was refused with {status:d} within'
    ' {longest_s:g} seconds'
)
def check_refusals(context, after_s, status, longest_s):
    """Check the requests that were sent after the given time."""
    late = [item for item in context.outcomes if item[0] >= after_s]
    wrong = [item for item in late if item[1] != status or item[2] > longest_s]
    assert late and not wrong, (len(late), wrong)


@when('a client of "{name}" sends the requests {requests} on one connection')
def send_pipelined(context, name, requests):
    """Send several requests without waiting for the answers."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    context.pipeline = socket.create_connection((host, int(port)), timeout=10)
    context.add_cleanup(context.pipeline.close)
    for number, text in enumerate(re.findall('"([^"]+)"', requests)):
        head = (
            '%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: p%d\r\n'
            'Deadline-Milliseconds: 4000\r\nContent-Length: 0\r\n\r\n'
        )
        context.pipeline.sendall((head % (text, number)).encode())


@then('the answers on the connection have the statuses {statuses}')
def check_pipelined(context, statuses):
    """Read until the connection ends, and check all answers."""
    context.received = b''
    while part := context.pipeline.recv(65536):
        context.received += part
    found = re.findall(rb'HTTP/1.1 (\d+) ', context.received)
    assert b' '.join(found).decode() == statuses, context.received


@then('only the last of them ends the connection')
def check_last_ends(context):
    """Check that no answer before the last one says that it is the last."""
    heads = context.received.split(b'HTTP/1.1 ')[1:]
    ends = [b'connection: close' in head.lower() for head in heads]
    assert ends == [False] * (len(heads) - 1) + [True], context.received
