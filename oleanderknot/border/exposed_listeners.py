"""Finds listeners that accept unauthenticated remote connections."""

import collections.abc
import ipaddress
import typing

# Path of the field, the value found and a description of what is allowed.
Finding = tuple[tuple[str, ...], str, str]

DEFAULT_HOST = '127.0.0.1'


def is_exposed(text: object) -> bool:
    """Return whether an address is reachable beyond loopback.

    Args:
        text: IP address; an invalid address counts as not exposed, since the
            validation of the field reports it.
    """
    try:
        return not ipaddress.ip_address(str(text)).is_loopback
    except ValueError:
        return False


def find_exposed_listeners(content: typing.Any) -> list[Finding]:
    """Return the listeners beyond loopback that lack authentication.

    Operates on the unvalidated content, so that these errors are reported
    together with those of individual fields.

    Args:
        content: Parsed YAML content of a settings file.

    Returns:
        One finding for each exposed listener.
    """
    if not isinstance(content, collections.abc.Mapping):
        return []
    listen = content.get('listen')
    if not isinstance(listen, collections.abc.Mapping):
        return []
    findings: list[Finding] = []

    def check(field: str, allowed: str) -> None:
        host = listen.get(field, DEFAULT_HOST)
        if is_exposed(host):
            path = ('listen', field)
            findings.append((path, repr(str(host)), allowed))

    if not content.get('tls'):
        check('host', 'an address beyond loopback only with the field tls')
    if not content.get('operator_token'):
        check(
            'operator_host',
            'an address beyond loopback only with the field operator_token',
        )
    check('egress_host', 'a loopback address, since the port trusts callers')
    return findings
