"""Gives commands access to the operators' port of nodes."""

import os

# A token on the command line would show in the list of processes.
TOKEN_VARIABLE = 'OLEANDERKNOT_OPERATOR_TOKEN'


def build_headers() -> dict[str, str]:
    """Return the HTTP headers that carry the operators' token, if any."""
    token = os.environ.get(TOKEN_VARIABLE, '')
    return {'Authorization': 'Bearer ' + token} if token else {}
