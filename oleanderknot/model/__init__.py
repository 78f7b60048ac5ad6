"""Data classes and enums shared by all other packages."""

from oleanderknot.model.account_batch import AccountBatch
from oleanderknot.model.account_totals import AccountTotals
from oleanderknot.model.alert import Alert
from oleanderknot.model.alert_kind import AlertKind
from oleanderknot.model.answer import Answer
from oleanderknot.model.answer import Body
from oleanderknot.model.call import Call
from oleanderknot.model.call import Headers
from oleanderknot.model.claim import Claim
from oleanderknot.model.claim import ClaimState
from oleanderknot.model.client_limits import ClientLimits
from oleanderknot.model.data_centre_ticket_status import DataCentreTicketStatus
from oleanderknot.model.decision_key import DecisionKey
from oleanderknot.model.event import Event
from oleanderknot.model.event_kind import EventKind
from oleanderknot.model.filing_outcome import FilingOutcome
from oleanderknot.model.filing_outcome import FilingResult
from oleanderknot.model.global_policy import GlobalPolicy
from oleanderknot.model.http_request import HttpRequest
from oleanderknot.model.http_response import HttpResponse
from oleanderknot.model.incomplete_body_error import IncompleteBodyError
from oleanderknot.model.key_decision import KeyDecision
from oleanderknot.model.load_report import LoadReport
from oleanderknot.model.log_entry import LogEntry
from oleanderknot.model.member import Member
from oleanderknot.model.member_state import MemberState
from oleanderknot.model.metric import Metric
from oleanderknot.model.node_identity import NodeIdentity
from oleanderknot.model.node_policy import NodePolicy
from oleanderknot.model.order_key import OrderKey
from oleanderknot.model.order_state import OrderState
from oleanderknot.model.platform_fault import FaultKind
from oleanderknot.model.platform_fault import PlatformFault
from oleanderknot.model.policy_digest import PolicyDigest
from oleanderknot.model.refusal import build_refusal
from oleanderknot.model.refusal import Refusal
from oleanderknot.model.report_coverage import ReportCoverage
from oleanderknot.model.report_section import ReportSection
from oleanderknot.model.request_class import RequestClass
from oleanderknot.model.request_metadata import RequestMetadata
from oleanderknot.model.response_metadata import ResponseMetadata
from oleanderknot.model.route import Route
from oleanderknot.model.route_policy import RoutePolicy
from oleanderknot.model.route_target import RouteTarget
from oleanderknot.model.row_batch import RowBatch
from oleanderknot.model.rule import Rule
from oleanderknot.model.scope_state import Policy
from oleanderknot.model.scope_state import ScopeState
from oleanderknot.model.service_policy import ServicePolicy
from oleanderknot.model.table_row import TableRow
from oleanderknot.model.ticket import Ticket
from oleanderknot.model.ticket_head import TicketHead
from oleanderknot.model.traffic_policy import TrafficPolicy
from oleanderknot.model.upstream_heartbeat import UpstreamHeartbeat
from oleanderknot.model.upstream_policy import UpstreamPolicy
from oleanderknot.model.verdict import Verdict

__all__ = [
    'LogEntry',
    'RowBatch',
    'ResponseMetadata',
    'ClientLimits',
    'HttpRequest',
    'HttpResponse',
    'RequestMetadata',
    'Route',
    'RouteTarget',
    'TrafficPolicy',
    'UpstreamHeartbeat',
    'AccountTotals',
    'ReportCoverage',
    'ReportSection',
    'AccountBatch',
    'Alert',
    'AlertKind',
    'NodePolicy',
    'DataCentreTicketStatus',
    'PolicyDigest',
    'TicketHead',
    'FilingOutcome',
    'FilingResult',
    'Answer',
    'Body',
    'IncompleteBodyError',
    'Call',
    'Claim',
    'ClaimState',
    'DecisionKey',
    'Event',
    'EventKind',
    'GlobalPolicy',
    'Headers',
    'KeyDecision',
    'LoadReport',
    'Member',
    'MemberState',
    'Metric',
    'NodeIdentity',
    'OrderKey',
    'OrderState',
    'Policy',
    'Refusal',
    'RequestClass',
    'RoutePolicy',
    'Rule',
    'ScopeState',
    'ServicePolicy',
    'Ticket',
    'UpstreamPolicy',
    'FaultKind',
    'PlatformFault',
    'TableRow',
    'Verdict',
    'build_refusal',
]
