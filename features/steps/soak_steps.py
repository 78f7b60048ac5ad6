"""Steps for the soak test and its checks."""

import json
import pathlib
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from features.support import organisation_records
from features.support import pipeline_records
from features.support import soak_records
from soak import answer_checks
from soak import http_attempt
from soak import key_checks
from soak import limit_checks
from soak import organisation_plan
from soak import record_checks
from soak import run_record

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds a soak that hangs.
LIMIT_S = 180


@when('the soak plays seed {seed:d} with {seconds:d} seconds of faults')
def play(context, seed, seconds, *options):
    """Run the soak as a program."""
    context.done = subprocess.run(
        [sys.executable, '-m', 'soak', '--first', str(seed)]
        + ['--seconds', str(seconds), *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )


@when('the soak plays seed {seed:d} with {seconds:d} seconds without faults')
def play_calm(context, seed, seconds):
    """Run the soak without faults."""
    play(context, seed, seconds, '--calm')


@then('it ends with status 0 and reports at least {least:d} faults')
def check_played(context, least):
    """Check the exit status and the report."""
    done = context.done
    assert done.returncode == 0, (done.stdout, done.stderr)
    report = json.loads(done.stdout.splitlines()[0])
    assert report['faults'] >= least, report
    assert report['status_200'] > 0, report


def find_mistake(request_id, body):
    """Return the error that the client finds in an answer."""
    headers = {'request-id': request_id, 'response-signature': 's-a'}
    return http_attempt.find_mismatch(
        soak_records.build_request(), headers, body
    )


def build_departure():
    """Build the acknowledgement of a node's departure."""
    return soak_records.build_event('state', at=1.0, state='draining')


def build_notice_record(event_count, **notice):
    """Build a record of 10 requests a second after a notice."""
    sent, events = [], [soak_records.build_event('notice', at=0.0, **notice)]
    for number in range(event_count):
        at = 0.1 * number + 0.1
        request_id = 'n%d' % number
        sent.append(
            soak_records.build_request(
                request_id=request_id, sent_at=at, ended_at=at
            )
        )
        for event in ('arrival', 'run'):
            events.append(
                soak_records.build_event(event, at=at, request_id=request_id)
            )
    return sent, events


RECORDS = {
    'a limited back end got 10 requests a second': lambda: build_notice_record(
        80, limit=3.0
    ),
    'a limited back end got what it names': lambda: build_notice_record(
        80, limit=10.0
    ),
    'a back end that leaves got requests for 4 s': lambda: build_notice_record(
        40, leaving=True
    ),
    'a back end that leaves got requests for 2 s': lambda: build_notice_record(
        20, leaving=True
    ),
    'an unsafe request ran twice': lambda: (
        [soak_records.build_request()],
        [soak_records.build_event(), soak_records.build_event(at=1.3)],
    ),
    'a refused unsafe request ran': lambda: (
        [soak_records.build_request(status=503)],
        [soak_records.build_event()],
    ),
    'a request ran that nobody sent': lambda: (
        [],
        [soak_records.build_event()],
    ),
    'a request ran at another service': lambda: (
        [soak_records.build_request()],
        [soak_records.build_event(service='catalogue')],
    ),
    'a request ran long after a departure': lambda: (
        [soak_records.build_request()],
        [build_departure(), soak_records.build_event(at=3.5)],
    ),
    'a back end got requests once it reported that it is back': lambda: (
        [soak_records.build_request(sent_at=3.4, ended_at=3.7)],
        [
            build_departure(),
            soak_records.build_event('report', at=3.4, state='ready'),
            soak_records.build_event(at=3.5),
            soak_records.build_event('state', at=3.6, state='ready'),
        ],
    ),
    'a service got 200 repeats of 10 requests': lambda: (
        [soak_records.build_request()],
        [
            soak_records.build_event(
                'arrival', at=1 + number / 100, request_id=str(item)
            )
            for number, item in enumerate(
                list(range(10)) + [3] * 200,
            )
        ],
    ),
    'an answer was short': lambda: (
        [soak_records.build_request(mismatch=find_mistake('a', b'xxx'))],
        [soak_records.build_event()],
    ),
    'an answer belonged to another request': lambda: (
        [soak_records.build_request(mismatch=find_mistake('other', b'xxxxx'))],
        [soak_records.build_event()],
    ),
    'planned work cut a request that ran': lambda: (
        [soak_records.build_request(status=0, error='closed')],
        [soak_records.build_event()],
    ),
    'a request that did not run got 502 without a fault': lambda: (
        [soak_records.build_request(status=502)],
        [],
    ),
    'nothing went wrong': lambda: (
        [soak_records.build_request(mismatch=find_mistake('a', b'xxxxx'))],
        [soak_records.build_event('arrival'), soak_records.build_event()],
    ),
}


@given('a record in which {what}')
def build_record(context, what):
    """Build the record that clients and back ends would have written."""
    records = RECORDS | pipeline_records.RECORDS
    if what in records:
        context.record = build_run_record(*records[what]())
    else:
        context.record = build_run_record(
            **organisation_records.RECORDS[what]()
        )


def build_run_record(sent, events, **others):
    """Build the record of a run with one client of a node of ``front``."""
    return run_record.RunRecord(
        sent=sent, events=events, services={'i0': 'front'}, **others
    )


def list_findings(record):
    """Return the findings of all soak checks."""
    return [
        *answer_checks.check_planned(record.sent, record.events),
        *answer_checks.check_calm(record.sent),
        *record_checks.check_record(record),
        *limit_checks.check_refusals(
            record.sent, organisation_plan.INSIDE_ORGANISATION, 0.0
        ),
    ]


@then('the checks of the soak find "{finding}"')
def check_finding(context, finding):
    """Check that one finding names the fault."""
    found = list_findings(context.record)
    assert any(finding in item for item in found), found


@then('the checks of the soak find nothing')
def check_no_finding(context):
    """Check that a good record is accepted."""
    found = list_findings(context.record)
    assert found == [], found


@then('a node that writes a key in its log is found')
def check_log(context):
    """Check that a key in the output of a process is found."""
    key = organisation_plan.LIMITED_KEY
    assert key_checks.check_output('sidecar', 'key=%s' % key, [key])
    assert not key_checks.check_output('sidecar', 'key=', [key])
