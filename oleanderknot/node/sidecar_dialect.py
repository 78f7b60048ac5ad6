"""HTTP dialect of the platform."""

from oleanderknot import platform
from oleanderknot.tasks import http_dialect

DIALECT = http_dialect.HttpDialect(
    parse_request_headers=platform.message_headers.parse_request_headers,
    parse_response_headers=platform.message_headers.parse_response_headers,
    add_calling_service=platform.message_headers.add_calling_service,
    set_organisation=platform.message_headers.set_organisation,
    add_upstream_headers=platform.message_headers.add_upstream_headers,
    build_refusal_response=platform.message_headers.build_refusal_response,
)
