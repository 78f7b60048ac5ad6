"""Accounts of the call chains that run at the upstream of a node."""

from oleanderknot import model
from oleanderknot.decisions import chain_account

# Separates the id of a request from the suffix of a call made for it.
CALL_ID_SEPARATOR = '.'


class ChainTable:
    """Maps trace ids to the accounts of their call chains.

    The span id is not used: HTTP clients of upstreams propagate the trace id
    but may set a span id of their own in ``traceparent``.

    Attributes:
        accounts: Account by trace id.
        running: Trace ids of the calls that run, by the id of the request.
            Clients choose the ids and may use one twice.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, chain_account.ChainAccount] = {}
        self.running: dict[str, list[str]] = {}

    def enter(self, call: model.Call) -> chain_account.ChainAccount:
        """Open or join the account of a call that the upstream will run.

        Args:
            call: The call; its allowance is added to the account.

        Returns:
            The account that outgoing calls of the same trace draw on.
        """
        self.running.setdefault(call.span_id, []).append(call.trace_id)
        account = self.accounts.get(call.trace_id)
        if account is None:
            account = chain_account.open_account(call)
            self.accounts[call.trace_id] = account
            return account
        account.remaining += call.allowance
        account.requests += 1
        account.deadline = max(account.deadline, call.deadline)
        return account

    def leave(self, call: model.Call) -> int:
        """Remove a call that has ended from the account of its chain.

        Args:
            call: The call that was passed to ``enter``.

        Returns:
            Unspent retries that the call returns to its caller.
        """
        traces = self.running[call.span_id]
        traces.remove(call.trace_id)
        if not traces:
            del self.running[call.span_id]
        account = self.accounts[call.trace_id]
        account.requests -= 1
        unspent = min(call.allowance, account.remaining)
        account.remaining -= unspent
        if account.requests == 0:
            del self.accounts[call.trace_id]
        return unspent

    def find_caller(
        self, request_id: str
    ) -> chain_account.ChainAccount | None:
        """Return the account of the run that a nested call belongs to.

        Args:
            request_id: Id of the call: that of the run, a separator and a
                suffix.

        Returns:
            The account; None if no such run is in progress here. Of runs with
            the same id, the one that began first has it, so that a later
            client cannot take over the calls of an earlier one.
        """
        parent, separator, _ = request_id.rpartition(CALL_ID_SEPARATOR)
        traces = self.running.get(parent) if separator else None
        return self.accounts[traces[0]] if traces else None

    def find(self, trace_id: str) -> chain_account.ChainAccount | None:
        """Return the account of a trace, or None when none runs here."""
        return self.accounts.get(trace_id)
