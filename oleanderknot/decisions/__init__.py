"""Pure decisions: no input or output, no clock, no random source."""

from oleanderknot.decisions.account_report import build_report
from oleanderknot.decisions.account_report import count_served
from oleanderknot.decisions.account_sum import add_up
from oleanderknot.decisions.account_words import format_time
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
from oleanderknot.decisions.policy_changes import describe_changes
from oleanderknot.decisions.policy_table import match_route
from oleanderknot.decisions.policy_table import PolicyTable
from oleanderknot.decisions.priority import rank
from oleanderknot.decisions.reporters import find_dark
from oleanderknot.decisions.reporters import is_reporter
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
    'add_up',
    'build_report',
    'count_served',
    'format_time',
    'ALERT_TEXTS',
    'group_by_centre',
    'is_in_force',
    'POLL_PERIOD_S',
    'choose_targets',
    'find_poll_delay',
    'list_alive',
    'split_batches',
    'describe_changes',
    'number_ticket',
    'settle',
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
