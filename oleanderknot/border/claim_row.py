"""Table row that claims an idempotency key supplied by a caller."""

import typing

from oleanderknot.border import base
from oleanderknot.border import settings


class ClaimRow(settings.Model):
    """Value of a row ``claim/<service>/<key>``.

    Attributes:
        state: ``held`` by the node that may execute the request with this
            key, or ``refused`` permanently.
        instance: Instance of the node that wrote the row.
        incarnation: Incarnation of that node, which changes with each restart.
        claim: Random id of the write, by which a writer recognises its own
            row when the response to the write was lost.
        digest: Hexadecimal digest of the request; empty when the writer had
            not seen the request.
    """

    state: typing.Literal['held', 'refused']
    instance: settings.Name
    incarnation: base.Integer
    claim: str
    digest: str = ''
