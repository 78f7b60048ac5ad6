"""Builds the mutual TLS contexts of peer connections."""

import dataclasses
import ssl

from oleanderknot import border


class TlsError(Exception):
    """A file of the TLS settings cannot be used."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerTls:
    """TLS contexts of both directions; both sides present a certificate.

    Attributes:
        incoming: For accepted connections; None for plain TCP.
        outgoing: For connections that this node opens; None for plain TCP.
    """

    incoming: ssl.SSLContext | None = None
    outgoing: ssl.SSLContext | None = None


def build_peer_tls(settings: border.TlsSettings | None) -> PeerTls:
    """Build the TLS contexts of both directions.

    Args:
        settings: Paths of the certificate files; None for plain TCP.

    Returns:
        Both contexts.

    Raises:
        TlsError: A file cannot be read or does not match the others.
    """
    if settings is None:
        return PeerTls()
    incoming = build_context(ssl.PROTOCOL_TLS_SERVER, settings)
    incoming.verify_mode = ssl.CERT_REQUIRED
    outgoing = build_context(ssl.PROTOCOL_TLS_CLIENT, settings)
    # Nodes are dialled by IP address and identify themselves in the handshake;
    # the authority signs certificates of nodes only.
    outgoing.check_hostname = False
    outgoing.verify_mode = ssl.CERT_REQUIRED
    return PeerTls(incoming=incoming, outgoing=outgoing)


def build_context(
    protocol: int, settings: border.TlsSettings
) -> ssl.SSLContext:
    """Build the TLS context of one direction.

    Raises:
        TlsError: A file cannot be used.
    """
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_verify_locations(cafile=settings.authority)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(
            'tls.authority: cannot use %s: %s' % (settings.authority, error)
        ) from error
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(
            'tls.certificate, tls.key: cannot use %s with %s: %s'
            % (settings.certificate, settings.key, error)
        ) from error
    return context
