"""Validates what comes from outside: settings, tickets, headers, rows."""

from oleanderknot.border import headers
from oleanderknot.border.announcement import Announcement
from oleanderknot.border.peer_row import parse_peer_row
from oleanderknot.border.peer_row import PEER_ROW_PREFIX
from oleanderknot.border.peer_row import PeerRow
from oleanderknot.border.settings import ListenSettings
from oleanderknot.border.settings import NodeSettings
from oleanderknot.border.settings import PlatformSettings
from oleanderknot.border.settings import UpstreamSettings
from oleanderknot.border.settings_file import load_settings
from oleanderknot.border.settings_file import SettingsError

__all__ = [
    'Announcement',
    'ListenSettings',
    'NodeSettings',
    'PEER_ROW_PREFIX',
    'PeerRow',
    'PlatformSettings',
    'SettingsError',
    'UpstreamSettings',
    'headers',
    'load_settings',
    'parse_peer_row',
]
