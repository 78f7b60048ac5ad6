"""Base class of the validated models of the platform's messages."""

import pydantic


class LooseModel(pydantic.BaseModel):
    """Immutable model that ignores fields which the platform may add."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)
