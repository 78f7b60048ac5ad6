"""Row that claims a caller-made key."""

import typing

from oleanderknot.border import settings


class ClaimRow(settings.Model):
    """Value of a row ``claim/<service>/<key>``.

    Attributes:
        state: ``held`` by the home that may run the key, or ``refused`` for
            good.
        instance: Instance of the node that wrote the row.
        incarnation: Life of that node.
        claim: Random id of the write, so that a writer whose answer was lost
            knows its own row.
        digest: Digest of the request in hexadecimal digits; empty when the
            writer had not seen the request.
    """

    state: typing.Literal['held', 'refused']
    instance: settings.Name
    incarnation: int
    claim: str
    digest: str = ''
