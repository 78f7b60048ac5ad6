"""Authenticates commands at the operator port of nodes."""

import os

# A token passed as an option would be visible in the process list.
TOKEN_VARIABLE = 'OLEANDERKNOT_OPERATOR_TOKEN'


def build_headers() -> dict[str, str]:
    """Return the HTTP headers with the operator token, if one is set."""
    token = os.environ.get(TOKEN_VARIABLE, '')
    return {'Authorization': 'Bearer ' + token} if token else {}
