"""Validates what comes from outside: settings, tickets, headers, rows."""

from oleanderknot.border import headers
from oleanderknot.border.announcement import Announcement
from oleanderknot.border.claim_row import ClaimRow
from oleanderknot.border.settings import ListenSettings
from oleanderknot.border.settings import NodeSettings
from oleanderknot.border.settings import PlatformSettings
from oleanderknot.border.settings import UpstreamSettings
from oleanderknot.border.settings_file import load_settings
from oleanderknot.border.settings_file import SettingsError

__all__ = [
    'Announcement',
    'ClaimRow',
    'ListenSettings',
    'NodeSettings',
    'PlatformSettings',
    'SettingsError',
    'UpstreamSettings',
    'headers',
    'load_settings',
]
