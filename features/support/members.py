"""Membership tables of nodes, and parsers for step arguments."""

import re

from features.support import http
from features.support import node as nodes


def list_members(node: nodes.Node) -> dict[str, dict[str, object]]:
    """Return the membership table of a node by instance."""
    members = http.get_json(node.status_url())['members']
    return {item['instance']: item for item in members}


def list_live_instances(node: nodes.Node) -> list[str]:
    """Return the instances that a node considers live."""
    return [
        name
        for name, item in list_members(node).items()
        if item['state'] in ('joining', 'taking', 'leaving')
    ]


def parse_locations(text: str) -> list[tuple[str, str]]:
    """Parse ``"a" in "dc1", "b" in "dc2"``."""
    return re.findall(r'"([^"]+)" in "([^"]+)"', text)


def parse_names(text: str) -> list[str]:
    """Parse ``"a", "b"``."""
    return re.findall(r'"([^"]+)"', text)
