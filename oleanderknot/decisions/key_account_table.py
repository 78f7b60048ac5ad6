"""Retry allowances of requests with an idempotency key."""

import collections

from oleanderknot import model
from oleanderknot.decisions import chain_account
from oleanderknot.decisions import order_key_age

# About 400 bytes each; enough for 83 new keys per second at one node for ten
# minutes.
MAX_ACCOUNTS = 50_000

# Largest number of expired accounts removed per request, which bounds the time
# that a request spends on it.
MAX_EVICTIONS = 64


class KeyAccountTable:
    """Keeps the account of each key at its first node for ten minutes.

    An account is never evicted before it expires, since the next repeat of
    its key would then start with a full allowance.

    Attributes:
        max_accounts: Largest number of accounts.
        accounts: Time of the first request and account by service and key,
            oldest first.
    """

    def __init__(self, *, max_accounts: int = MAX_ACCOUNTS) -> None:
        self.max_accounts = max_accounts
        self.accounts: collections.OrderedDict[
            tuple[str, str], tuple[float, chain_account.ChainAccount]
        ] = collections.OrderedDict()

    def enter(
        self,
        call: model.Call,
        account: chain_account.ChainAccount,
        now: float,
    ) -> chain_account.ChainAccount | None:
        """Return the account that a request with a key draws on.

        Args:
            call: The root call of the request.
            account: Account of the request, used when the key is new.
            now: Monotonic time in seconds.

        Returns:
            The account, with one retry deducted if the request is a repeat;
            None when no retry is left, or the table is full.
        """
        accounts = self.accounts
        for _ in range(min(MAX_EVICTIONS, len(accounts))):
            started, _ = next(iter(accounts.values()))
            if now - started <= order_key_age.KEY_RETENTION_S:
                break
            accounts.popitem(last=False)
        name = (call.service, call.key)
        known = accounts.get(name)
        if known is not None:
            return known[1] if known[1].spend() else None
        if len(accounts) >= self.max_accounts:
            return None
        accounts[name] = (now, account)
        return account
