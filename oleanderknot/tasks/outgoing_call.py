"""Call that this node has opened on a connection."""

import asyncio
import dataclasses

from oleanderknot import model
from oleanderknot.tasks import body_pipe
from oleanderknot.tasks import send_window


@dataclasses.dataclass(slots=True, kw_only=True)
class OutgoingCall:
    """State of a call until its answer is whole.

    Attributes:
        call: The call.
        future: Gets the answer or the refusal.
        window: Credit for the request body.
        pipe: Rest of the answer's body.
        sender: Task that sends the request body.
        timer: Fires at the call's deadline.
    """

    call: model.Call
    future: asyncio.Future
    window: send_window.SendWindow | None = None
    pipe: body_pipe.BodyPipe | None = None
    sender: asyncio.Task | None = None
    timer: asyncio.TimerHandle | None = None
