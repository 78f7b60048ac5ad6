"""Accounts of the call chains that run at the upstream of a node."""

from oleanderknot import model
from oleanderknot.decisions import chain_account


class ChainTable:
    """Maps trace ids to the accounts of their call chains.

    The span id is not used: HTTP clients of upstreams propagate the trace id
    but may set a span id of their own in ``traceparent``.

    Attributes:
        accounts: Account by trace id.
    """

    def __init__(self) -> None:
        self.accounts: dict[str, chain_account.ChainAccount] = {}

    def enter(self, call: model.Call) -> chain_account.ChainAccount:
        """Open or join the account of a call that the upstream will run.

        Args:
            call: The call; its allowance is added to the account.

        Returns:
            The account that outgoing calls of the same trace draw on.
        """
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
        account = self.accounts[call.trace_id]
        account.requests -= 1
        unspent = min(call.allowance, account.remaining)
        account.remaining -= unspent
        if account.requests == 0:
            del self.accounts[call.trace_id]
        return unspent

    def find(self, trace_id: str) -> chain_account.ChainAccount | None:
        """Return the account of a trace, or None when none runs here."""
        return self.accounts.get(trace_id)
