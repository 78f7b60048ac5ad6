"""Finds listeners that others can reach without proving who they are."""

import collections.abc
import ipaddress
import typing

# Place in the file, what was found and what is allowed.
Finding = tuple[tuple[str, ...], str, str]

DEFAULT_HOST = '127.0.0.1'


def is_exposed(text: object) -> bool:
    """Return whether an address is one beyond loopback.

    Args:
        text: IP address; what is none is not exposed, since it is a mistake
            of another kind.
    """
    try:
        return not ipaddress.ip_address(str(text)).is_loopback
    except ValueError:
        return False


def find_exposed_listeners(content: typing.Any) -> list[Finding]:
    """Return the listeners beyond loopback that lack authentication.

    Works on the plain content, so that these mistakes are found together
    with those of single fields.

    Args:
        content: Content of a settings file.

    Returns:
        The mistakes.
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
