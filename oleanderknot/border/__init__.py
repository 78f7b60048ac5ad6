"""Validates what comes from outside: settings, tickets, headers, rows."""

from oleanderknot.border import headers
from oleanderknot.border.account_settings import AccountSettings
from oleanderknot.border.alert_settings import AlertSettings
from oleanderknot.border.announcement import Announcement
from oleanderknot.border.log_settings import LogSettings
from oleanderknot.border.settings import ListenSettings
from oleanderknot.border.settings import NodeSettings
from oleanderknot.border.settings import PlatformSettings
from oleanderknot.border.settings import UpstreamSettings
from oleanderknot.border.settings_file import load_settings
from oleanderknot.border.settings_file import SettingsError
from oleanderknot.border.statsd_settings import StatsdSettings
from oleanderknot.border.tls_settings import TlsSettings
from oleanderknot.border.tracing_settings import TracingSettings

__all__ = [
    'AccountSettings',
    'AlertSettings',
    'Announcement',
    'ListenSettings',
    'LogSettings',
    'NodeSettings',
    'PlatformSettings',
    'SettingsError',
    'StatsdSettings',
    'TlsSettings',
    'TracingSettings',
    'UpstreamSettings',
    'headers',
    'load_settings',
]
