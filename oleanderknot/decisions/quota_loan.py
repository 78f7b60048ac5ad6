"""What a home knows of another home that it requests tokens from."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class QuotaLoan:
    """Requests to the home of one data centre.

    Attributes:
        outstanding: Tokens of the request without a response; 0 for none.
        asked_at: Monotonic time in seconds of the latest request.
        ask_from: Monotonic time in seconds from which it may be asked again.
    """

    outstanding: int = 0
    asked_at: float = float('-inf')
    ask_from: float = 0.0
