"""Checks who was served by API key, and what upstreams were told."""

from soak import backend_event
from soak import sent_request

# Statuses of a request whose key is not valid: refused for its key, refused
# by a node without a policy, and no answer.
REFUSED_STATUSES = (401, 503, 0)


def check_keys(
    sent: list[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
    withdrawn: set[str],
) -> list[str]:
    """Check requests whose key is always valid or never.

    Args:
        sent: All requests that clients sent.
        events: Events of all back ends.
        withdrawn: Keys that were withdrawn during the run.

    Returns:
        One sentence for each violated guarantee.
    """
    ran = {item.request_id for item in events if item.event == 'run'}
    findings = []
    for item in sent:
        if not item.organisation and not item.anonymous:
            if item.status not in REFUSED_STATUSES or item.request_id in ran:
                findings.append(
                    '%s at %s without a known key got %d%s'
                    % (
                        item.request_id,
                        item.instance,
                        item.status,
                        ' and ran' if item.request_id in ran else '',
                    )
                )
        elif item.status == 401 and item.key not in withdrawn:
            findings.append(
                '%s at %s got 401 and needs no other key'
                % (item.request_id, item.instance)
            )
    return findings


def check_identities(
    sent: list[sent_request.SentRequest],
    events: list[backend_event.BackendEvent],
) -> list[str]:
    """Check the organisation and the credentials of each run.

    Nested calls name no organisation.
    """
    organisations = {item.request_id: item.organisation for item in sent}
    findings = []
    for event in events:
        root, _, nested = event.request_id.partition('.')
        if event.event != 'run' or root not in organisations:
            continue
        expected = '' if nested else organisations[root]
        if event.organisation != expected:
            findings.append(
                '%s ran at %s for the organisation %r in place of %r'
                % (
                    event.request_id,
                    event.name,
                    event.organisation,
                    expected,
                )
            )
        if event.credentials:
            findings.append(
                '%s reached %s with credentials'
                % (event.request_id, event.name)
            )
    return findings


def check_output(name: str, text: str, keys: list[str]) -> list[str]:
    """Check that no key is in the output of a process."""
    return ['%s wrote the key %s' % (name, key) for key in keys if key in text]
