"""Pure decisions: no input or output, no clock, no random source."""

from oleanderknot.decisions.account_format import format_time
from oleanderknot.decisions.account_report import build_report
from oleanderknot.decisions.account_report import count_served
from oleanderknot.decisions.account_totals import sum_batches
from oleanderknot.decisions.admission_level import AdmissionLevel
from oleanderknot.decisions.admission_level import MAX_LEVEL
from oleanderknot.decisions.admission_queue import AdmissionQueue
from oleanderknot.decisions.alert_reporters import find_dead_data_centres
from oleanderknot.decisions.alert_reporters import is_reporter
from oleanderknot.decisions.alert_texts import ALERT_TEXTS
from oleanderknot.decisions.alert_texts import summarise
from oleanderknot.decisions.balanced_choice import choose_balanced
from oleanderknot.decisions.call_cohort import CallCohort
from oleanderknot.decisions.call_numbers import CallNumbers
from oleanderknot.decisions.chain_account import ChainAccount
from oleanderknot.decisions.chain_account import open_account
from oleanderknot.decisions.chain_table import ChainTable
from oleanderknot.decisions.concurrency_limit import ConcurrencyLimit
from oleanderknot.decisions.failure_share import FailureShare
from oleanderknot.decisions.gossip_queue import CHANGES_PER_PING
from oleanderknot.decisions.gossip_queue import compute_transmit_limit
from oleanderknot.decisions.gossip_queue import GossipQueue
from oleanderknot.decisions.heartbeat_filter import HeartbeatFilter
from oleanderknot.decisions.home_key_check import check_home_key
from oleanderknot.decisions.instance_load import estimate_wait_ms
from oleanderknot.decisions.instance_load import InstanceLoad
from oleanderknot.decisions.key_account_table import KeyAccountTable
from oleanderknot.decisions.load_view import ADMITTING_STATES
from oleanderknot.decisions.load_view import LoadView
from oleanderknot.decisions.local_suspicion import LocalSuspicion
from oleanderknot.decisions.local_suspicion import SUSPICION_S
from oleanderknot.decisions.log_sampler import LogSampler
from oleanderknot.decisions.member_monitor import MemberMonitor
from oleanderknot.decisions.member_table import ENDED_RETENTION_S
from oleanderknot.decisions.member_table import ENDED_STATES
from oleanderknot.decisions.member_table import hash_record
from oleanderknot.decisions.member_table import is_newer
from oleanderknot.decisions.member_table import MemberTable
from oleanderknot.decisions.not_run import is_certainly_not_run
from oleanderknot.decisions.order_key_age import has_valid_age
from oleanderknot.decisions.order_key_age import KEY_RETENTION_S
from oleanderknot.decisions.order_key_format import CALLER_KEY_MARKER
from oleanderknot.decisions.order_key_format import format_order_key
from oleanderknot.decisions.order_key_format import is_single_attempt
from oleanderknot.decisions.order_key_format import parse_order_key
from oleanderknot.decisions.order_key_format import SINGLE_ATTEMPT_MARKER
from oleanderknot.decisions.order_query import answer_query
from oleanderknot.decisions.order_query import QueryAnswer
from oleanderknot.decisions.order_record import OrderRecord
from oleanderknot.decisions.order_record_store import OrderRecordStore
from oleanderknot.decisions.order_refusal_monitor import OrderRefusalMonitor
from oleanderknot.decisions.outage_detector import OutageDetector
from oleanderknot.decisions.peer_row import format_address
from oleanderknot.decisions.peer_row import MAX_ADDRESSES
from oleanderknot.decisions.peer_row import plan_peer_row
from oleanderknot.decisions.policy_changes import describe_changes
from oleanderknot.decisions.policy_table import match_route
from oleanderknot.decisions.policy_table import PolicyTable
from oleanderknot.decisions.priority import compute_priority
from oleanderknot.decisions.priority import find_band
from oleanderknot.decisions.priority import is_reserved
from oleanderknot.decisions.probe_limiter import ProbeLimiter
from oleanderknot.decisions.probe_schedule import ProbeSchedule
from oleanderknot.decisions.probe_step import ProbeAction
from oleanderknot.decisions.probe_step import ProbeStep
from oleanderknot.decisions.queued_call import QueuedCall
from oleanderknot.decisions.record_exchange import build_version
from oleanderknot.decisions.record_exchange import compare_versions
from oleanderknot.decisions.record_exchange import ExchangeLimiter
from oleanderknot.decisions.record_exchange import RecordVersion
from oleanderknot.decisions.record_exchange import VERSION_LIST_BYTES_PER_S
from oleanderknot.decisions.refutation import refute
from oleanderknot.decisions.refutation import split_claims
from oleanderknot.decisions.repeat_budget import GATEWAY_SHARE
from oleanderknot.decisions.repeat_budget import ORIGIN_SHARE
from oleanderknot.decisions.repeat_budget import RepeatBudget
from oleanderknot.decisions.request_trace import describe_line
from oleanderknot.decisions.request_trace import find_context
from oleanderknot.decisions.request_trace import find_lines
from oleanderknot.decisions.retry_budget import RetryBudget
from oleanderknot.decisions.route_dependencies import RouteDependencies
from oleanderknot.decisions.route_table import RouteTable
from oleanderknot.decisions.service_time import ServiceTimes
from oleanderknot.decisions.target_split import TargetSplit
from oleanderknot.decisions.ticket_filing import number_ticket
from oleanderknot.decisions.ticket_filing import resolve_filing
from oleanderknot.decisions.ticket_propagation import choose_push_targets
from oleanderknot.decisions.ticket_propagation import compute_poll_delay
from oleanderknot.decisions.ticket_propagation import list_alive_peers
from oleanderknot.decisions.ticket_propagation import POLL_PERIOD_S
from oleanderknot.decisions.ticket_propagation import split_batches
from oleanderknot.decisions.ticket_rollout import group_by_data_centre
from oleanderknot.decisions.ticket_rollout import is_in_force
from oleanderknot.decisions.upstream_choice import Candidate
from oleanderknot.decisions.upstream_choice import choose_local_first

__all__ = [
    'find_band',
    'is_reserved',
    'ProbeLimiter',
    'FailureShare',
    'describe_line',
    'find_context',
    'find_lines',
    'choose_balanced',
    'GATEWAY_SHARE',
    'ORIGIN_SHARE',
    'RepeatBudget',
    'HeartbeatFilter',
    'TargetSplit',
    'RouteTable',
    'sum_batches',
    'build_report',
    'count_served',
    'format_time',
    'ALERT_TEXTS',
    'ADMITTING_STATES',
    'AdmissionLevel',
    'AdmissionQueue',
    'CALLER_KEY_MARKER',
    'CHANGES_PER_PING',
    'CallCohort',
    'CallNumbers',
    'Candidate',
    'ChainAccount',
    'ChainTable',
    'GossipQueue',
    'ConcurrencyLimit',
    'ENDED_STATES',
    'ExchangeLimiter',
    'ENDED_RETENTION_S',
    'InstanceLoad',
    'LogSampler',
    'LoadView',
    'KEY_RETENTION_S',
    'KeyAccountTable',
    'VERSION_LIST_BYTES_PER_S',
    'LocalSuspicion',
    'MAX_ADDRESSES',
    'MAX_LEVEL',
    'MemberTable',
    'MemberMonitor',
    'OrderRefusalMonitor',
    'OutageDetector',
    'OrderRecord',
    'OrderRecordStore',
    'POLL_PERIOD_S',
    'PolicyTable',
    'QueuedCall',
    'RetryBudget',
    'RouteDependencies',
    'ServiceTimes',
    'choose_local_first',
    'estimate_wait_ms',
    'QueryAnswer',
    'SINGLE_ATTEMPT_MARKER',
    'answer_query',
    'check_home_key',
    'find_dead_data_centres',
    'is_newer',
    'is_reporter',
    'format_order_key',
    'has_valid_age',
    'is_single_attempt',
    'match_route',
    'is_certainly_not_run',
    'open_account',
    'parse_order_key',
    'ProbeAction',
    'ProbeSchedule',
    'ProbeStep',
    'RecordVersion',
    'SUSPICION_S',
    'choose_push_targets',
    'compare_versions',
    'build_version',
    'describe_changes',
    'compute_poll_delay',
    'format_address',
    'group_by_data_centre',
    'hash_record',
    'is_in_force',
    'compute_transmit_limit',
    'list_alive_peers',
    'number_ticket',
    'plan_peer_row',
    'compute_priority',
    'summarise',
    'refute',
    'resolve_filing',
    'split_batches',
    'split_claims',
]
