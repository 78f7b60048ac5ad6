"""Validates what comes from outside: settings, tickets, headers, rows."""

from oleanderknot.border import headers
from oleanderknot.border import ticket_rows
from oleanderknot.border.announcement import Announcement
from oleanderknot.border.claim_row import ClaimRow
from oleanderknot.border.mistake import Mistake
from oleanderknot.border.model_mistakes import collect
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
from oleanderknot.border.settings_file import SettingsError
from oleanderknot.border.ticket_file import load_ticket
from oleanderknot.border.yaml_lines import load_yaml
from oleanderknot.border.yaml_lines import MistakesError
from oleanderknot.border.yaml_lines import parse_yaml
from oleanderknot.border.yaml_lines import YamlText

__all__ = [
    'Announcement',
    'ClaimRow',
    'ListenSettings',
    'MemberStatus',
    'Mistake',
    'MistakesError',
    'NodeSettings',
    'NodeStatus',
    'PEER_ROW_PREFIX',
    'PeerRow',
    'PlatformSettings',
    'SettingsError',
    'UpstreamSettings',
    'YamlText',
    'collect',
    'dump_policy',
    'headers',
    'load_settings',
    'load_ticket',
    'load_yaml',
    'parse_peer_row',
    'parse_policy',
    'parse_yaml',
    'ticket_rows',
]
