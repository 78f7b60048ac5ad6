"""Base of the validated models of the platform's messages."""

import pydantic


class LenientModel(pydantic.BaseModel):
    """Ignores unknown fields, since the platform may add some."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)
