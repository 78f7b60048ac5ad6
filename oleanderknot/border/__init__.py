"""Validates external data: settings, tickets, HTTP headers and table rows."""

from oleanderknot.border import headers
from oleanderknot.border import ticket_rows
from oleanderknot.border.account_object import build_object_key
from oleanderknot.border.account_object import dump_batch
from oleanderknot.border.account_object import format_day
from oleanderknot.border.account_object import parse_batch
from oleanderknot.border.account_object import PREFIX as ACCOUNT_PREFIX
from oleanderknot.border.account_settings import AccountSettings
from oleanderknot.border.alert_row import dump_alert
from oleanderknot.border.alert_row import parse_alert
from oleanderknot.border.alert_row import PREFIX as ALERT_PREFIX
from oleanderknot.border.alert_settings import AlertSettings
from oleanderknot.border.announcement import Announcement
from oleanderknot.border.claim_row import ClaimRow
from oleanderknot.border.diagnostic import Diagnostic
from oleanderknot.border.log_line import parse_log_line
from oleanderknot.border.log_settings import LogSettings
from oleanderknot.border.model_validation import validate_section
from oleanderknot.border.node_row import NodeRow
from oleanderknot.border.node_status import MemberStatus
from oleanderknot.border.node_status import NodeStatus
from oleanderknot.border.peer_row import parse_peer_row
from oleanderknot.border.peer_row import PEER_ROW_PREFIX
from oleanderknot.border.peer_row import PeerRow
from oleanderknot.border.scopes import dump_policy
from oleanderknot.border.scopes import parse_policy
from oleanderknot.border.settings import ListenSettings
from oleanderknot.border.settings import NodeSettings
from oleanderknot.border.settings import PlatformSettings
from oleanderknot.border.settings import UpstreamSettings
from oleanderknot.border.settings_file import load_settings
from oleanderknot.border.settings_file import load_sidecar_settings
from oleanderknot.border.sidecar_settings import SidecarAddresses
from oleanderknot.border.sidecar_settings import SidecarSettings
from oleanderknot.border.statsd_settings import StatsdSettings
from oleanderknot.border.ticket_file import load_ticket
from oleanderknot.border.tls_settings import TlsSettings
from oleanderknot.border.tracing_settings import TracingSettings
from oleanderknot.border.traffic_policy import dump_traffic_policy
from oleanderknot.border.traffic_policy import parse_traffic_policy
from oleanderknot.border.yaml_document import InvalidFileError
from oleanderknot.border.yaml_document import load_yaml
from oleanderknot.border.yaml_document import parse_yaml
from oleanderknot.border.yaml_document import YamlDocument

__all__ = [
    'parse_log_line',
    'parse_traffic_policy',
    'dump_traffic_policy',
    'NodeRow',
    'load_sidecar_settings',
    'SidecarAddresses',
    'SidecarSettings',
    'ACCOUNT_PREFIX',
    'ALERT_PREFIX',
    'AccountSettings',
    'AlertSettings',
    'MemberStatus',
    'NodeStatus',
    'ticket_rows',
    'dump_policy',
    'parse_policy',
    'load_ticket',
    'Announcement',
    'ClaimRow',
    'ListenSettings',
    'LogSettings',
    'Diagnostic',
    'InvalidFileError',
    'NodeSettings',
    'PEER_ROW_PREFIX',
    'PeerRow',
    'PlatformSettings',
    'StatsdSettings',
    'TlsSettings',
    'TracingSettings',
    'UpstreamSettings',
    'YamlDocument',
    'build_object_key',
    'validate_section',
    'dump_alert',
    'dump_batch',
    'format_day',
    'headers',
    'load_settings',
    'load_yaml',
    'parse_alert',
    'parse_batch',
    'parse_peer_row',
    'parse_yaml',
]
