"""Builds the runner and the dispatcher, with or without load control."""

import collections.abc

from oleanderknot import border
from oleanderknot import decisions
from oleanderknot import model
from oleanderknot.node import observability
from oleanderknot.tasks import admission
from oleanderknot.tasks import dispatcher
from oleanderknot.tasks import peer_pool
from oleanderknot.tasks import plain_dispatcher
from oleanderknot.tasks import policy_check
from oleanderknot.tasks import runner as runners
from oleanderknot.tasks import unlimited_admission
from oleanderknot.tasks import upstream_client


def build_runner(
    settings: border.NodeSettings,
    chains: decisions.ChainTable,
    policy: decisions.PolicyTable,
) -> runners.Runner:
    """Build the task that runs calls at the local upstream."""
    built = runners.Runner(
        chains=chains,
        build_client=upstream_client.UpstreamClient,
        build_admission=admission.Admission
        if settings.control
        else unlimited_admission.UnlimitedAdmission,
    )
    built.check_policy = policy_check.build_policy_check(
        policy, settings.instance
    )
    return built


def build_dispatcher(
    *,
    control: bool,
    identity: model.NodeIdentity,
    members: decisions.MemberTable,
    policy: decisions.PolicyTable,
    runner: runners.Runner,
    pool: peer_pool.PeerPool,
    telemetry: observability.Observability,
) -> dispatcher.Dispatcher:
    """Build the task that sends calls and connect it to the runner.

    Args:
        control: Whether the node controls load.
        identity: Identity of the node.
        members: Known nodes and their upstreams.
        policy: Policy in force.
        runner: Runs calls at the local upstream.
        pool: Connections to other nodes.
        telemetry: Records decisions and spans.

    Returns:
        The dispatcher.
    """
    build: collections.abc.Callable[..., dispatcher.Dispatcher] = (
        dispatcher.Dispatcher if control else plain_dispatcher.PlainDispatcher
    )
    built = build(
        identity=identity,
        members=members,
        policy=policy,
        runner=runner,
        pool=pool,
        record=telemetry.recorder.record,
        on_root_call=telemetry.tracing.begin,
    )
    runner.downstream_level.find_service_levels = (
        built.chooser.find_service_levels
    )
    return built
