"""Header conventions between clients, nodes and upstreams."""

import collections.abc
import dataclasses

from oleanderknot import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpDialect:
    """Functions that parse and build the HTTP headers of one platform.

    Attributes:
        parse_request_headers: Parses the headers of a client's request.
        parse_response_headers: Parses the headers of an upstream's response.
        add_calling_service: Returns a request's headers with the calling
            service added.
        add_upstream_headers: Returns the headers for an upstream, from those
            of the call, the seconds until the deadline and the id of the
            expected upstream.
        build_refusal_response: Builds the response to a refused request from
            its id and the refusal.
    """

    parse_request_headers: collections.abc.Callable[
        [model.Headers], model.RequestMetadata
    ]
    parse_response_headers: collections.abc.Callable[
        [model.Headers], model.ResponseMetadata
    ]
    add_calling_service: collections.abc.Callable[
        [model.Headers, str], model.Headers
    ]
    add_upstream_headers: collections.abc.Callable[
        [model.Headers, float, str], model.Headers
    ]
    build_refusal_response: collections.abc.Callable[
        [str, model.Refusal], model.HttpResponse
    ]
