"""State of a call that this node has opened on a connection."""

import asyncio
import dataclasses

from oleanderknot import model
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import send_window


@dataclasses.dataclass(slots=True, kw_only=True)
class OutgoingCall:
    """Holds the state of a call until its response is complete.

    Attributes:
        call: The call.
        future: Set to the head of the response or to the refusal.
        window: Flow-control window of the request body.
        response_body: Rest of the response body, if it arrives in chunks.
        body_sender: Task that sends the request body.
        recovering: Whether the peer is being asked about the call over
            another connection.
    """

    call: model.Call
    future: asyncio.Future
    window: send_window.SendWindow | None = None
    response_body: body_pipe.BodyPipe | None = None
    body_sender: asyncio.Task | None = None
    recovering: bool = False
