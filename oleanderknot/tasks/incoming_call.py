"""Call that the other node has opened on a connection."""

import asyncio
import dataclasses

from oleanderknot import model
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import send_window


@dataclasses.dataclass(slots=True, kw_only=True)
class IncomingCall:
    """State of a call until its answer is sent.

    Attributes:
        call: The call.
        window: Credit for the answer's body.
        pipe: Rest of the request's body.
        task: Task that runs the call.
    """

    call: model.Call
    window: send_window.SendWindow
    pipe: body_pipe.BodyPipe | None = None
    task: asyncio.Task | None = None
