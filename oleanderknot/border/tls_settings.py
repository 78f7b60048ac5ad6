"""Settings of mutual TLS."""

from oleanderknot.border import base


class TlsSettings(base.Model):
    """Files for mutual TLS between nodes.

    Attributes:
        certificate: PEM file with the certificate of this node.
        key: PEM file with the private key of this node.
        authority: PEM file with the certificate authority that signs the
            certificates of all nodes.
    """

    certificate: str
    key: str
    authority: str
