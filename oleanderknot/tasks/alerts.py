"""Stores alerts in the table and posts them to the webhook."""

import asyncio
import collections.abc
import dataclasses
import datetime
import time

from absl import logging
import aiohttp

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot import platform
from oleanderknot.tasks import task_log

# Attempts in which this node finds an alert that another node has stored and
# not posted, and leaves it to that node. After these this node posts it, since
# the other one may have died.
ATTEMPTS_BEFORE_TAKEOVER = 5

MAX_PENDING = 200
SHUTDOWN_TIMEOUT_S = 5.0
POST_TIMEOUT_S = 5.0


class Alerts:
    """Owns the alerts that are not yet both stored and posted.

    Attributes:
        identity: Identity of this node.
        settings: Webhook URL and delays between attempts.
        table: Client of the table service; if None, no rows are stored.
        count: Increments the counter metric of this name.
        draw: Returns a random number from 0 to 1.
        pending: Alerts whose delivery is not complete, by id.
        left_to_others: Number of attempts in which an alert was left to the
            node that has stored it, by id.
        raised: Ids of all alerts raised since this process started.
        tasks: Delivery tasks, by alert id.
        session: HTTP session for the webhook.
    """

    def __init__(
        self,
        *,
        identity: model.NodeIdentity,
        settings: border.AlertSettings,
        table: platform.TableClient | None,
        count: collections.abc.Callable[[str], None],
        draw: collections.abc.Callable[[], float],
    ) -> None:
        self.identity = identity
        self.settings = settings
        self.table = table
        self.count = count
        self.draw = draw
        self.pending: dict[str, model.Alert] = {}
        self.left_to_others: dict[str, int] = {}
        self.raised: set[str] = set()
        self.tasks: dict[str, asyncio.Task] = {}
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=POST_TIMEOUT_S)
        )

    def raise_alert(
        self, kind: model.AlertKind, subject: str, occurrence: str
    ) -> None:
        """Raise an alert, unless this node has raised the same one before.

        The alert is dropped as well while ``MAX_PENDING`` are pending.

        Args:
            kind: Kind of problem.
            subject: Instance, service or data centre concerned.
            occurrence: Distinguishes this occurrence from other ones of the
                same kind and subject, for example an incarnation.
        """
        alert_id = '%s.%s.%s' % (kind.value, subject, occurrence)
        if alert_id in self.raised or len(self.pending) >= MAX_PENDING:
            return
        self.raised.add(alert_id)
        alert = model.Alert(
            id=alert_id,
            kind=kind,
            subject=subject,
            by=self.identity.instance,
            data_centre=self.identity.data_centre,
            at=time.time(),
        )
        logging.error('alert %s: %s', alert_id, decisions.summarise(alert))
        self.count('alerts.raised')
        self.pending[alert_id] = alert
        task = asyncio.create_task(self.deliver(alert))
        task.add_done_callback(task_log.log_failure)
        self.tasks[alert_id] = task

    async def deliver(self, alert: model.Alert) -> None:
        """Retry storing and posting an alert until both have succeeded."""
        pause = self.settings.retry_min_s
        # Many nodes may detect the same problem at once; a random delay lets
        # one of them store the alert first.
        await asyncio.sleep(self.draw() * pause)
        while not await self.try_deliver(alert.id):
            await asyncio.sleep(pause * (0.5 + self.draw() / 2))
            pause = min(2 * pause, self.settings.retry_max_s)
        del self.pending[alert.id]
        self.left_to_others.pop(alert.id, None)
        del self.tasks[alert.id]

    async def try_deliver(self, alert_id: str) -> bool:
        """Make one attempt to store and post an alert.

        Returns:
            Whether delivery is complete.
        """
        alert = self.pending[alert_id]
        began = time.monotonic()
        row = await self.store(alert) if self.table is not None else None
        if row is not None:
            stored = border.parse_alert(row.value)
            if stored.posted or not self.settings.webhook_url:
                return True
            if stored.by != self.identity.instance:
                # Attempts while the table was away do not count: the other
                # node has stored the alert only now.
                left = self.left_to_others.get(alert_id, 0)
                self.left_to_others[alert_id] = left + 1
                if left < ATTEMPTS_BEFORE_TAKEOVER:
                    return False
            elapsed_s = time.monotonic() - began
            if (
                elapsed_s
                > ATTEMPTS_BEFORE_TAKEOVER * self.settings.retry_min_s
            ):
                # Another node may have taken the alert over since the row was
                # read, as from a node that was halted.
                return False
        if not alert.posted and self.settings.webhook_url:
            if not await self.post(alert):
                self.count('alerts.posts_failed')
                return False
            alert = dataclasses.replace(alert, posted=True)
            self.pending[alert_id] = alert
        if self.table is None:
            return True
        return row is not None and await self.mark_posted(row)

    async def store(self, alert: model.Alert) -> model.TableRow | None:
        """Insert the row of an alert unless it exists.

        Returns:
            The row that is in the table, or None if the table service could
            not be read or written.
        """
        key = border.ALERT_PREFIX + alert.id
        value = border.dump_alert(dataclasses.replace(alert, posted=False))
        found = await self.table.read([key])
        if found.is_error():
            return None
        row = found.ok[0]
        if row.version:
            return row
        result = await self.table.commit({key: 0}, {key: value})
        if result.is_error():
            if result.error.kind is not model.FaultKind.CONFLICT:
                return None
            # Another node inserted the row first, or the response to an
            # earlier insert of this node was lost.
            found = await self.table.read([key])
            return found.ok[0] if found.is_ok() else None
        return model.TableRow(key=key, version=1, value=value)

    async def mark_posted(self, row: model.TableRow) -> bool:
        """Mark the row as posted and return whether that succeeded."""
        found = await self.table.read([row.key])
        if found.is_error():
            return False
        current = found.ok[0]
        stored = border.parse_alert(current.value)
        value = border.dump_alert(dataclasses.replace(stored, posted=True))
        result = await self.table.commit(
            {row.key: current.version}, {row.key: value}
        )
        return result.is_ok()

    async def post(self, alert: model.Alert) -> bool:
        """Post an alert to the webhook and return whether it was accepted."""
        raised_at = datetime.datetime.fromtimestamp(
            alert.at, datetime.timezone.utc
        )
        content = {
            'id': alert.id,
            'kind': alert.kind.value,
            'subject': alert.subject,
            'instance': alert.by,
            'data_centre': alert.data_centre,
            'at': raised_at.isoformat(timespec='seconds'),
            'text': decisions.summarise(alert),
            'action': decisions.ALERT_TEXTS[alert.kind].action,
        }
        try:
            async with self.session.post(
                self.settings.webhook_url, json=content
            ) as response:
                return response.status < 300
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logging.warning('failed to post alert %s: %r', alert.id, error)
            return False

    async def close(self) -> None:
        """Wait a limited time for pending deliveries, then cancel them."""
        if self.tasks:
            await asyncio.wait(
                list(self.tasks.values()), timeout=SHUTDOWN_TIMEOUT_S
            )
        for alert_id, task in list(self.tasks.items()):
            logging.error(
                'alert %s was not delivered before shutdown', alert_id
            )
            task.cancel()
        await self.session.close()
