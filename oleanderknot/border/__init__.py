"""Validates what comes from outside: settings, tickets, headers, rows."""

from oleanderknot.border import headers
from oleanderknot.border import ticket_rows
from oleanderknot.border.announcement import Announcement
from oleanderknot.border.claim_row import ClaimRow
from oleanderknot.border.mistake import Mistake
from oleanderknot.border.model_mistakes import collect
from oleanderknot.border.node_status import MemberStatus
from oleanderknot.border.node_status import NodeStatus
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
    'MemberStatus',
    'NodeStatus',
    'ticket_rows',
    'dump_policy',
    'parse_policy',
    'load_ticket',
    'Announcement',
    'ClaimRow',
    'ListenSettings',
    'Mistake',
    'MistakesError',
    'NodeSettings',
    'PlatformSettings',
    'SettingsError',
    'UpstreamSettings',
    'YamlText',
    'collect',
    'headers',
    'load_settings',
    'load_yaml',
    'parse_yaml',
]
