"""A request that a listener cannot accept."""


class RequestFault(Exception):
    """Says why the bytes of a client are no acceptable request.

    Attributes:
        status: HTTP status code of the answer.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
