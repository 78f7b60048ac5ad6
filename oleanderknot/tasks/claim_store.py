"""Stores claims on caller-made keys as rows of the table service."""

import asyncio
import secrets
import time
import urllib.parse

import pydantic

from oleanderknot import border
from oleanderknot import model
from oleanderknot import platform

# Attempts to write a row before its outcome is reported as unknown.
MAX_WRITE_ATTEMPTS = 3

WRITE_RETRY_PAUSE_S = 0.05

# No new attempt starts after this time, so that a slow table service is
# reported as the cause before the usual deadline of 5 s.
WRITE_RETRY_LIMIT_S = 1.5


class ClaimStore:
    """Writes claim rows and resolves writes whose response was lost.

    Attributes:
        identity: Identity of this node.
        table: The table service; None when the settings name none.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        table: platform.TableClient | None,
    ) -> None:
        self.identity = identity
        self.table = table

    async def acquire(
        self, service: str, key: str, digest: bytes
    ) -> model.Claim:
        """Claim a key for this node, unless it is claimed already.

        Args:
            service: Service of the request.
            key: The key.
            digest: Digest of the request.

        Returns:
            The claim; only ``OWN`` lets the key run here.
        """
        return await self.write(service, key, 'held', digest, 0)

    async def refuse(
        self, service: str, key: str, digest: bytes, *, claimed: bool = False
    ) -> model.Claim:
        """Record that a key has not run and never will.

        Args:
            service: Service of the request.
            key: The key.
            digest: Digest of the request; empty when not known.
            claimed: Whether this node holds the claim and has not run it.

        Returns:
            The claim; ``OWN`` and ``REFUSED`` mean that the row holds a
            refusal.
        """
        version = 0
        if claimed:
            rows = await self.table.read([build_row_key(service, key)])
            if rows.is_error():
                return build_unknown_claim(rows.error.detail)
            version = rows.ok[0].version
        return await self.write(service, key, 'refused', digest, version)

    async def write(
        self, service: str, key: str, state: str, digest: bytes, version: int
    ) -> model.Claim:
        """Write a row once, even if responses are lost.

        The same row is written again until a read returns a row. A lost write
        may take effect late; the second write then fails, and the next read
        returns the first.
        """
        if self.table is None:
            return build_unknown_claim('no table service is configured')
        row_key = build_row_key(service, key)
        value = border.ClaimRow(
            state=state,
            instance=self.identity.instance,
            incarnation=self.identity.incarnation,
            claim=secrets.token_hex(16),
            digest=digest.hex(),
        ).model_dump_json()
        detail = ''
        started = time.monotonic()
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = await self.table.commit(
                {row_key: version}, {row_key: value}
            )
            if result.is_ok():
                return model.Claim(state=model.ClaimState.OWN)
            rows = await self.table.read([row_key])
            if rows.is_error():
                detail = rows.error.detail
                if (
                    result.error.kind is model.FaultKind.NOT_SENT
                    or time.monotonic() - started > WRITE_RETRY_LIMIT_S
                ):
                    break
                await asyncio.sleep(WRITE_RETRY_PAUSE_S)
                continue
            row = rows.ok[0]
            if row.value == value:
                return model.Claim(state=model.ClaimState.OWN)
            if row.version != version:
                return parse_claim(row)
        return build_unknown_claim(
            detail or 'the row does not keep what was written'
        )


def build_row_key(service: str, key: str) -> str:
    """Return the key of a claim row."""
    return 'claim/%s/%s' % (service, urllib.parse.quote(key, safe=''))


def build_unknown_claim(detail: str) -> model.Claim:
    """Return a claim whose state the table service did not confirm."""
    return model.Claim(state=model.ClaimState.UNKNOWN, detail=detail)


def parse_claim(row: model.TableRow) -> model.Claim:
    """Parse a claim row that another write has stored."""
    try:
        value = border.ClaimRow.model_validate_json(row.value)
        digest = bytes.fromhex(value.digest)
    except (pydantic.ValidationError, ValueError) as error:
        return build_unknown_claim('malformed row %s: %s' % (row.key, error))
    state = model.ClaimState.HELD
    if value.state == 'refused':
        state = model.ClaimState.REFUSED
    return model.Claim(
        state=state,
        instance=value.instance,
        incarnation=value.incarnation,
        digest=digest,
    )
