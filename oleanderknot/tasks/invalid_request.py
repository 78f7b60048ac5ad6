"""Error for a request of a client that is not handled."""


class InvalidRequestError(Exception):
    """Raised for a request that is malformed, too large or unsupported.

    It is also raised with status 503 for one that the node has no memory for.

    Attributes:
        status: HTTP status code of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
