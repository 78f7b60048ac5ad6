"""Pure decisions: no input or output, no clock, no random source."""

from oleanderknot.decisions.alert_texts import ALERT_TEXTS
from oleanderknot.decisions.alert_texts import summarise
from oleanderknot.decisions.chain_account import ChainAccount
from oleanderknot.decisions.chain_account import open_account
from oleanderknot.decisions.chain_table import ChainTable
from oleanderknot.decisions.instance_load import InstanceLoad
from oleanderknot.decisions.instance_load import MAX_LEVEL
from oleanderknot.decisions.log_sampler import LogSampler
from oleanderknot.decisions.member_table import is_newer
from oleanderknot.decisions.member_table import MemberTable
from oleanderknot.decisions.member_watch import MemberWatch
from oleanderknot.decisions.order_watch import OrderWatch
from oleanderknot.decisions.outage_watch import OutageWatch
from oleanderknot.decisions.policy_table import match_route
from oleanderknot.decisions.policy_table import PolicyTable
from oleanderknot.decisions.priority import rank
from oleanderknot.decisions.reporters import find_dark
from oleanderknot.decisions.reporters import is_reporter
from oleanderknot.decisions.retry_budget import RetryBudget
from oleanderknot.decisions.upstream_choice import Candidate
from oleanderknot.decisions.upstream_choice import choose

__all__ = [
    'ALERT_TEXTS',
    'Candidate',
    'ChainAccount',
    'ChainTable',
    'InstanceLoad',
    'LogSampler',
    'MAX_LEVEL',
    'MemberTable',
    'MemberWatch',
    'OrderWatch',
    'OutageWatch',
    'PolicyTable',
    'RetryBudget',
    'choose',
    'find_dark',
    'is_newer',
    'is_reporter',
    'match_route',
    'open_account',
    'rank',
    'summarise',
]
