"""Base of the validated models of the platform's messages."""

import pydantic


class LenientModel(pydantic.BaseModel):
    """Ignores unknown fields, since the platform may add some.

    Errors do not show the input, which may contain API keys.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore', frozen=True, hide_input_in_errors=True
    )
