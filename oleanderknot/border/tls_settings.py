"""Settings of mutual TLS."""

from oleanderknot.border import base


class TlsSettings(base.Model):
    """Mutual TLS between nodes.

    Attributes:
        certificate: PEM file with the certificate of this node.
        key: PEM file with the private key of this node.
        authority: PEM file with the authority that signs all nodes.
    """

    certificate: str
    key: str
    authority: str
