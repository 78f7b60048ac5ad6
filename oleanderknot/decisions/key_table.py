"""Organisations of a traffic policy by API key."""

import collections.abc
import hmac

from oleanderknot import model

# Characters of a digest by which keys are looked up. The time of the lookup
# depends only on this part of the digest; the rest is compared in constant
# time.
PREFIX_LENGTH = 8


class KeyTable:
    """Finds the organisation that holds a key, by the digest of the key.

    Attributes:
        candidates: Digest and organisation of each key, by digest prefix.
    """

    def __init__(
        self,
        *,
        organisations: collections.abc.Iterable[model.Organisation] = (),
    ) -> None:
        self.candidates: dict[str, list[tuple[str, model.Organisation]]] = {}
        for organisation in organisations:
            for digest in organisation.key_digests:
                self.candidates.setdefault(digest[:PREFIX_LENGTH], []).append(
                    (digest, organisation)
                )

    def find(self, key_digest: str) -> model.Organisation | None:
        """Return the organisation that holds a key, or None.

        Args:
            key_digest: Hexadecimal SHA-256 digest of the key; empty if the
                request carries none.
        """
        for digest, organisation in self.candidates.get(
            key_digest[:PREFIX_LENGTH], ()
        ):
            if hmac.compare_digest(digest, key_digest):
                return organisation
        return None
