"""Table of the policy in force for each scope."""

import collections.abc
import functools
import hashlib

from oleanderknot import model


class PolicyTable:
    """Stores the state with the highest ticket number for each scope.

    Attributes:
        scopes: State in force by scope.
        highest: Highest ticket number seen; 0 for none.
        complete: Ticket number up to which the table includes the effect of
            every ticket.
        hash: XOR of the hashes of all scopes and their ticket numbers.
        version: Number of states that have come into force.
    """

    def __init__(self) -> None:
        self.scopes: dict[str, model.ScopeState] = {}
        self.highest = 0
        self.complete = 0
        self.hash = 0
        self.version = 0

    def merge(
        self, states: collections.abc.Iterable[model.ScopeState]
    ) -> list[model.ScopeState]:
        """Merge states, which may arrive in any order.

        An older state never replaces a newer one.

        Args:
            states: States of scopes, from tickets or from other nodes.

        Returns:
            The states that have newly come into force.
        """
        changed = []
        for state in states:
            current = self.scopes.get(state.scope)
            if current is not None and current.number >= state.number:
                continue
            if current is not None:
                self.hash ^= hash_state(current)
            self.hash ^= hash_state(state)
            self.scopes[state.scope] = state
            self.version += 1
            self.highest = max(self.highest, state.number)
            changed.append(state)
        return changed

    def build_digest(self) -> model.PolicyDigest:
        """Return a digest of all scopes for comparison with a peer."""
        return model.PolicyDigest(
            count=len(self.scopes),
            highest=self.highest,
            hash=self.hash,
            complete=self.complete,
        )

    def merge_digest(self, digest: model.PolicyDigest) -> bool:
        """Compare a peer's digest with the own one.

        If they match, every ticket whose effect the peer has completely is
        also complete here, and ``complete`` is advanced accordingly.

        Args:
            digest: The peer's digest.

        Returns:
            Whether the peer holds the same states.
        """
        own = (len(self.scopes), self.highest, self.hash)
        if own != (digest.count, digest.highest, digest.hash):
            return False
        self.complete = max(self.complete, digest.complete)
        return True

    def list_after(self, number: int) -> list[model.ScopeState]:
        """Return the states that were set by tickets after a number."""
        return [
            state for state in self.scopes.values() if state.number > number
        ]

    def find_service(self, service: str) -> tuple[model.ServicePolicy, int]:
        """Return the policy of a service and its ticket number."""
        state = self.scopes.get('service/' + service)
        if state is None:
            return build_default_policy(service), 0
        return state.policy, state.number

    def find_global(self) -> tuple[model.GlobalPolicy, int]:
        """Return the global policy and its ticket number."""
        state = self.scopes.get('global')
        if state is None:
            return DEFAULT_GLOBAL_POLICY, 0
        return state.policy, state.number

    def accepts_work(self, instance: str) -> bool:
        """Return whether the policy allows new work for an upstream."""
        if not self.scopes:
            return True
        state = self.scopes.get('upstream/' + instance)
        return state is None or state.policy.taking_work

    def find_blocking_ticket(self, instance: str) -> int | None:
        """Return the ticket that blocks new work for an upstream, or None."""
        state = self.scopes.get('upstream/' + instance)
        if state is None or state.policy.taking_work:
            return None
        return state.number


def hash_state(state: model.ScopeState) -> int:
    """Return a 63-bit hash of a scope and number, equal on all nodes."""
    text = '%s %d' % (state.scope, state.number)
    content = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(content) >> 1


DEFAULT_GLOBAL_POLICY = model.GlobalPolicy()

DEFAULT_RETRIES = 2
DEFAULT_DEADLINE_MS = 5000
READ_METHODS = ('GET', 'HEAD', 'OPTIONS')


@functools.lru_cache(maxsize=4096)
def build_default_policy(service: str) -> model.ServicePolicy:
    """Build the default policy of a service that no ticket has set.

    Read methods are idempotent browsing requests. All other methods are
    treated as orders, which must not run twice.

    Args:
        service: Name of the service.

    Returns:
        The default policy.
    """
    reads = tuple(
        model.RoutePolicy(
            method=method,
            prefix='/',
            request_class=model.RequestClass.BROWSING,
            idempotent=True,
            deadline_ms=DEFAULT_DEADLINE_MS,
            retries=DEFAULT_RETRIES,
        )
        for method in READ_METHODS
    )
    rest = model.RoutePolicy(
        method='*',
        prefix='/',
        request_class=model.RequestClass.ORDER,
        idempotent=False,
        deadline_ms=DEFAULT_DEADLINE_MS,
        retries=DEFAULT_RETRIES,
    )
    return model.ServicePolicy(service=service, routes=(*reads, rest))


def match_route(
    policy: model.ServicePolicy, method: str, path: str
) -> model.RoutePolicy:
    """Return the first route of a policy that matches a request.

    The default policy applies to a request that matches none of the routes.

    Args:
        policy: Policy of the service.
        method: HTTP method in upper case.
        path: Path and query, starting with ``/``.

    Returns:
        The matching route.
    """
    for route in policy.routes:
        if route.method in ('*', method) and path.startswith(route.prefix):
            return route
    fallback = build_default_policy(policy.service)
    return match_route(fallback, method, '/')
