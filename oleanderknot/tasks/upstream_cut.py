"""An answer of the own upstream that did not come whole."""


class UpstreamCutError(Exception):
    """Says how the connection to the upstream ended."""
