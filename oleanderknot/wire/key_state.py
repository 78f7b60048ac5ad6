"""Converts the responses to queries about idempotency keys."""

from oleanderknot import model
from oleanderknot.wire import bad_frame
from oleanderknot.wire import translate_call
from oleanderknot.wire.gen.peer import ttypes

STATE_BY_VALUE = {state.value: state for state in model.OrderState}


def build_key_state(
    state: model.OrderState,
    *,
    answer: model.Answer | None = None,
    refusal: model.Refusal | None = None,
) -> ttypes.KeyState:
    """Build the message that reports the state of a key.

    Args:
        state: State of the key.
        answer: The complete response, if it was stored.
        refusal: Reason why there is no response.

    Returns:
        The message.
    """
    message = ttypes.KeyState(state=state.value)
    if answer is not None:
        message.status = answer.status
        message.headers = translate_call.flatten_headers(answer.headers)
        message.body = answer.content
    if refusal is not None:
        message.failure = translate_call.failure_from_refusal(refusal)
    return message


def parse_key_state(
    message: ttypes.KeyState,
) -> tuple[model.OrderState, model.Answer | None, model.Refusal | None]:
    """Parse the message that reports the state of a key.

    Returns:
        State, response and refusal.

    Raises:
        BadFrame: A field is missing or out of range.
    """
    state = STATE_BY_VALUE.get(message.state)
    if state is None:
        raise bad_frame.BadFrame('unknown key state %r' % message.state)
    answer = refusal = None
    if message.status is not None:
        head = ttypes.Head(
            status=message.status, headers=message.headers, body=message.body
        )
        answer = translate_call.answer_from_head(head, None)
    if message.failure is not None:
        refusal = translate_call.refusal_from_failure(message.failure)
    return state, answer, refusal
