"""State of a call that the peer has opened on a connection."""

import asyncio
import dataclasses

from oleanderknot import model
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import send_window


@dataclasses.dataclass(slots=True, kw_only=True)
class IncomingCall:
    """Holds the state of a call until its response is sent.

    Attributes:
        call: The call.
        window: Flow-control window of the response body.
        request_body: Rest of the request body, if it arrives in chunks.
        task: Task that runs the call.
    """

    call: model.Call
    window: send_window.SendWindow
    request_body: body_pipe.BodyPipe | None = None
    task: asyncio.Task | None = None
