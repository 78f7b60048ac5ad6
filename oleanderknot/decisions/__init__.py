"""Pure decisions: no input or output, no clock, no random source."""

from oleanderknot.decisions.chain_account import ChainAccount
from oleanderknot.decisions.chain_account import open_account
from oleanderknot.decisions.chain_table import ChainTable
from oleanderknot.decisions.change_spread import CHANGES_PER_PING
from oleanderknot.decisions.change_spread import ChangeSpread
from oleanderknot.decisions.change_spread import limit_rides
from oleanderknot.decisions.instance_load import InstanceLoad
from oleanderknot.decisions.instance_load import MAX_LEVEL
from oleanderknot.decisions.local_suspicion import LocalSuspicion
from oleanderknot.decisions.local_suspicion import SUSPICION_S
from oleanderknot.decisions.member_table import ENDED
from oleanderknot.decisions.member_table import FORGET_S
from oleanderknot.decisions.member_table import is_newer
from oleanderknot.decisions.member_table import MemberTable
from oleanderknot.decisions.peer_row import format_address
from oleanderknot.decisions.peer_row import MAX_ADDRESSES
from oleanderknot.decisions.peer_row import plan_row
from oleanderknot.decisions.policy_changes import describe_changes
from oleanderknot.decisions.policy_table import match_route
from oleanderknot.decisions.policy_table import PolicyTable
from oleanderknot.decisions.priority import rank
from oleanderknot.decisions.probe_schedule import ProbeSchedule
from oleanderknot.decisions.probe_step import ProbeAction
from oleanderknot.decisions.probe_step import ProbeStep
from oleanderknot.decisions.record_exchange import compare
from oleanderknot.decisions.record_exchange import describe
from oleanderknot.decisions.record_exchange import ExchangePace
from oleanderknot.decisions.record_exchange import RecordVersion
from oleanderknot.decisions.refutation import refute
from oleanderknot.decisions.refutation import split_claims
from oleanderknot.decisions.retry_budget import RetryBudget
from oleanderknot.decisions.ticket_filing import number_ticket
from oleanderknot.decisions.ticket_filing import settle
from oleanderknot.decisions.ticket_force import group_by_centre
from oleanderknot.decisions.ticket_force import is_in_force
from oleanderknot.decisions.ticket_schedule import choose_targets
from oleanderknot.decisions.ticket_schedule import find_poll_delay
from oleanderknot.decisions.ticket_schedule import list_alive
from oleanderknot.decisions.ticket_schedule import POLL_PERIOD_S
from oleanderknot.decisions.ticket_schedule import split_batches
from oleanderknot.decisions.upstream_choice import Candidate
from oleanderknot.decisions.upstream_choice import choose

__all__ = [
    'CHANGES_PER_PING',
    'Candidate',
    'ChainAccount',
    'ChainTable',
    'ChangeSpread',
    'ENDED',
    'ExchangePace',
    'FORGET_S',
    'InstanceLoad',
    'LocalSuspicion',
    'MAX_ADDRESSES',
    'MAX_LEVEL',
    'MemberTable',
    'POLL_PERIOD_S',
    'PolicyTable',
    'ProbeAction',
    'ProbeSchedule',
    'ProbeStep',
    'RecordVersion',
    'RetryBudget',
    'SUSPICION_S',
    'choose',
    'choose_targets',
    'compare',
    'describe',
    'describe_changes',
    'find_poll_delay',
    'format_address',
    'group_by_centre',
    'is_in_force',
    'is_newer',
    'limit_rides',
    'list_alive',
    'match_route',
    'number_ticket',
    'open_account',
    'plan_row',
    'rank',
    'refute',
    'settle',
    'split_batches',
    'split_claims',
]
