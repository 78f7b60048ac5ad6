"""Header conventions between clients, nodes and upstreams."""

import collections.abc
import dataclasses

from oleanderknot import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpDialect:
    """Functions that parse and build the HTTP headers of one platform.

    Attributes:
        read_request: Parses the headers of a client's request.
        read_answer: Parses the headers of an upstream's response.
        mark_origin: Returns a request's headers with the calling service
            added.
        address_upstream: Returns the headers for an upstream, from those
            of the call, the seconds until the deadline and the id of the
            expected upstream.
        build_refusal: Builds the response to a refused request from its id
            and the refusal.
    """

    read_request: collections.abc.Callable[
        [model.Headers], model.RequestMetadata
    ]
    read_answer: collections.abc.Callable[
        [model.Headers], model.ResponseMetadata
    ]
    mark_origin: collections.abc.Callable[[model.Headers, str], model.Headers]
    address_upstream: collections.abc.Callable[
        [model.Headers, float, str], model.Headers
    ]
    build_refusal: collections.abc.Callable[
        [str, model.Refusal], model.HttpResponse
    ]
