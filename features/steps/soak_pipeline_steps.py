"""Steps for the pipelined requests of the soak."""

from behave import given
from behave import then

from features.support import pipeline_records


@given('a pipeline whose first answer closes the connection')
def play_closed(context):
    """Send two requests, of which one is answered."""
    context.requests = pipeline_records.play_pipeline(
        pipeline_records.encode_answer('a', 'Connection: close\r\n')
    )


@then('the requests behind it count as unread')
def check_unread(context):
    """Check which request is sent again."""
    assert [item.unread for item in context.requests] == [False, True]
    assert [item.status for item in context.requests] == [200, 0]
