"""Validates external data: settings, tickets, HTTP headers and table rows."""

from oleanderknot import lazy_exports

# Public names by the module that defines them.
MODULES = {
    'account_object': (
        'PREFIX:ACCOUNT_PREFIX',
        'build_object_key',
        'dump_batch',
        'format_day',
        'parse_batch',
    ),
    'account_settings': ('AccountSettings',),
    'alert_row': ('PREFIX:ALERT_PREFIX', 'dump_alert', 'parse_alert'),
    'alert_settings': ('AlertSettings',),
    'announcement': ('Announcement',),
    'claim_row': ('ClaimRow',),
    'departure_row': ('dump_departure', 'parse_departure'),
    'diagnostic': ('Diagnostic',),
    'headers': (),
    'log_line': ('parse_log_line',),
    'log_settings': ('LogSettings',),
    'model_validation': ('validate_section',),
    'node_row': ('NodeRow',),
    'node_status': ('MemberStatus', 'NodeStatus'),
    'peer_row': ('parse_peer_row', 'PEER_ROW_PREFIX', 'PeerRow'),
    'route_query': (
        'format_route_query',
        'parse_route_query',
        'PATH:ROUTE_QUERY_PATH',
    ),
    'scopes': ('dump_policy', 'parse_policy'),
    'client_settings': ('ClientSettings',),
    'settings': (
        'ListenSettings',
        'NodeSettings',
        'PlatformSettings',
        'UpstreamSettings',
    ),
    'settings_file': ('load_settings', 'load_sidecar_settings'),
    'sidecar_settings': ('SidecarAddresses', 'SidecarSettings'),
    'statsd_settings': ('StatsdSettings',),
    'ticket_file': ('load_ticket',),
    'ticket_rows': (),
    'tls_settings': ('TlsSettings',),
    'tracing_settings': ('TracingSettings',),
    'traffic_policy': ('dump_traffic_policy', 'parse_traffic_policy'),
    'yaml_document': (
        'InvalidFileError',
        'load_yaml',
        'parse_yaml',
        'YamlDocument',
    ),
}

__all__, __getattr__ = lazy_exports.build_exports(__name__, MODULES)
