"""Time and memory of the order key records."""

import collections.abc
import gc
import hashlib
import itertools
import json
import time
import tracemalloc

from bench import figure
from oleanderknot import decisions
from oleanderknot import model

SIZES = (1_000, 5_000, 20_000, 40_000)
ROUNDS = 20_000
ANSWER_BYTES = 200


def build_key(number: int) -> str:
    """Return an order key in text form."""
    return decisions.format_order_key(
        model.OrderKey(
            instance='orders-1.qld-south',
            incarnation=1 << 60,
            created_at=1_790_000_000 + number % 600,
            nonce='c' + hashlib.md5(b'%d' % number).hexdigest(),
        )
    )


def build_answer(number: int) -> model.Answer:
    """Return a short answer with distinct content."""
    content = json.dumps({'order': number}).encode()
    return model.Answer(
        status=200,
        headers=[(b'Content-Type', b'application/json')],
        content=content + bytes(ANSWER_BYTES - len(content)),
    )


def fill_store(count: int) -> tuple[decisions.OrderRecordStore, list[str]]:
    """Return a store of completed order records, and their keys."""
    records = decisions.OrderRecordStore(
        max_records=1 << 30, max_bytes=1 << 40
    )
    keys = [build_key(number) for number in range(count)]
    for number, key in enumerate(keys):
        begin(records, key)
        records.finish(key, answer=build_answer(number))
    return records, keys


def begin(
    records: decisions.OrderRecordStore, key: str, now: float = 1_790_000_500
) -> model.KeyDecision:
    """Begin a request with an order key."""
    parsed = decisions.parse_order_key(key)
    digest = hashlib.blake2b(b'POST', digest_size=16).digest()
    return records.begin(
        key, digest=digest, expires_at=parsed.created_at + 2000, now=now
    )


def time_new(records: decisions.OrderRecordStore, count: int) -> float:
    """Return the time to begin and finish a new order in microseconds."""
    keys = [build_key(count + number) for number in range(ROUNDS)]
    answers = [build_answer(number) for number in range(ROUNDS)]
    started = time.perf_counter()
    for key, answer in zip(keys, answers, strict=True):
        begin(records, key)
        records.finish(key, answer=answer)
    return (time.perf_counter() - started) / ROUNDS * 1e6


def time_repeat(records: decisions.OrderRecordStore, keys: list[str]) -> float:
    """Return the time to repeat a completed key in microseconds."""
    repeats = list(itertools.islice(itertools.cycle(keys), ROUNDS))
    started = time.perf_counter()
    for key in repeats:
        begin(records, key)
    return (time.perf_counter() - started) / ROUNDS * 1e6


def time_expiry(records: decisions.OrderRecordStore) -> float:
    """Return the time to expire one record in microseconds."""
    count = len(records.records)
    started = time.perf_counter()
    while records.records:
        records.advance(1_790_010_000)
    return (time.perf_counter() - started) / count * 1e6


def refuse_all(count: int) -> decisions.OrderRecordStore:
    """Return a store with records of refused orders."""
    records = decisions.OrderRecordStore(max_tombstones=count)
    for number in range(count):
        refusal = model.Refusal(
            verdict=model.Verdict.NOT_RUN,
            rule=model.Rule.QUEUE_FULL,
            service='orders',
            detail='all slots are in use',
        )
        records.refuse(build_key(number), refusal=refusal, expires_at=number)
    return records


def open_accounts(count: int) -> decisions.KeyAccountTable:
    """Return a table of key accounts, as kept by the first node of a call."""
    accounts = decisions.KeyAccountTable(max_accounts=count)
    for number in range(count):
        call = model.Call(
            service='orders',
            method='POST',
            path='/',
            headers=[],
            request_class=model.RequestClass.ORDER,
            deadline=0.0,
            trace_id='',
            span_id='',
            key=build_key(number),
        )
        accounts.enter(call, decisions.open_account(call), 0.0)
    return accounts


def measure_memory(
    count: int, build: collections.abc.Callable[[int], object]
) -> float:
    """Return the memory per record in bytes, including its key."""
    gc.collect()
    tracemalloc.start()
    kept = build(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / count


def measure() -> list[figure.Figure]:
    """Measure the records at several store sizes."""
    figures = []
    times: dict[str, list[float]] = {}
    for count in SIZES:
        records, keys = fill_store(count)
        found = {
            'repeat': time_repeat(records, keys),
            'new': time_new(records, count),
            'expiry': time_expiry(records),
        }
        for name, value in found.items():
            times.setdefault(name, []).append(value)
            figures.append(
                figure.Figure(
                    name='orders.%s_%d' % (name, count),
                    value=round(value, 2),
                    unit='us',
                    note='with %d records' % count,
                )
            )
    for name, values in times.items():
        slope = (values[-1] - values[0]) / (SIZES[-1] - SIZES[0]) * 1000
        figures.append(
            figure.Figure(
                name='orders.%s_slope' % name,
                value=round(slope, 4),
                unit='us for each 1000 records',
            )
        )
    sizes = {
        'done': measure_memory(20_000, fill_store),
        'refused': measure_memory(40_000, refuse_all),
        'account': measure_memory(50_000, open_accounts),
    }
    for name, size in sizes.items():
        figures.append(
            figure.Figure(
                name='orders.bytes_%s' % name,
                value=round(size),
                unit='bytes a record',
                note='answers of %d bytes' % ANSWER_BYTES,
            )
        )
    full = (
        20_000 * (sizes['done'] - ANSWER_BYTES)
        + 64_000_000
        + 40_000 * sizes['refused']
        + 50_000 * sizes['account']
    )
    figures.append(
        figure.Figure(
            name='orders.full_mb',
            value=round(full / 1e6, 1),
            unit='MB',
            note='all tables of orders at their limits, computed',
        )
    )
    return figures
