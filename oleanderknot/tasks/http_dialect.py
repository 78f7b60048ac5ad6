"""Header conventions of one platform."""

import collections.abc
import dataclasses

from oleanderknot import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpDialect:
    """Functions that decode and build the HTTP headers of a platform.

    Attributes:
        parse_request_headers: Decodes the headers of a client's request.
        parse_response_headers: Decodes the headers of an upstream's response.
        add_calling_service: Returns the headers of a request with the name
            of the calling service added.
        set_organisation: Returns the headers of a request without its API
            key, and with the name of the organisation that holds the key;
            without a name if it is empty.
        add_upstream_headers: Builds the headers of a request to an upstream
            from the headers of the call, the remaining seconds and the id of
            the intended upstream.
        build_refusal_response: Builds the response to a refused request from
            the id of the request and the refusal.
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
    set_organisation: collections.abc.Callable[
        [model.Headers, str], model.Headers
    ]
    add_upstream_headers: collections.abc.Callable[
        [model.Headers, float, str], model.Headers
    ]
    build_refusal_response: collections.abc.Callable[
        [str, model.Refusal], model.HttpResponse
    ]
