"""Steps for verdicts."""

import concurrent.futures

from behave import then
from behave import when

from features.support import http as http_support


@when(
    'the upstream of "{service}" dies while it runs "{path}" for node "{name}"'
)
def kill_upstream(context, service, path, name):
    """Kill an upstream that runs a request."""
    url = context.system.nodes[name].caller_url(path)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(http_support.request, 'GET', url)
        context.system.wait_for(
            lambda: context.system.list_runs(service), 'the request runs'
        )
        context.system.nodes[service].upstream.kill()
        context.status, context.headers, context.body = answer.result()


@then('the caller is told "{verdict}"')
def check_verdict(context, verdict):
    """Check the verdict of the refusal."""
    found = context.headers.get('oleanderknot-verdict')
    assert found == verdict, (context.status, context.body)
