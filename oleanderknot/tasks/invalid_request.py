"""Error for an invalid request of a client."""


class InvalidRequestError(Exception):
    """Raised for a request that is malformed, too large or unsupported.

    Attributes:
        status: HTTP status code of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
