"""Steps about clients that leave before their answer is complete."""

import socket
import time

from behave import then
from behave import when


@when(
    '{count:d} clients of "{name}" send {size:d} bytes to "{target}", '
    'wait {wait_s:f} s and leave'
)
def send_and_leave(context, count, name, size, target, wait_s):
    """Send complete requests at once and close their connections."""
    host, port = context.fleet.sidecars[name].requests.split(':')
    clients = []
    for number in range(count):
        client = socket.create_connection((host, int(port)), timeout=10)
        clients.append(client)
        head = (
            'POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: gone%d\r\n'
            'Deadline-Milliseconds: 6000\r\nContent-Length: %d\r\n\r\n'
        )
        client.sendall((head % (target, number, size)).encode())
        client.sendall(b'x' * size)
    time.sleep(wait_s)
    for client in clients:
        client.close()


@then('the back end of "{name}" ran nothing for the clients that left')
def check_nothing_ran(context, name):
    """Check the runs, some time after the slot became free."""
    time.sleep(1.0)
    runs = context.fleet.query_backend(name, '/-/runs')['runs']
    late = [run['id'] for run in runs if run['id'].startswith('gone')]
    assert not late, late
