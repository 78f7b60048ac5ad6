"""Headers by which clients, nodes and upstreams understand each other."""

import collections.abc
import dataclasses

from oleanderknot import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpDialect:
    """Functions that read and write the headers of one platform.

    Attributes:
        read_request: Decodes the headers of a client's request.
        read_answer: Decodes the headers of an upstream's answer.
        mark_origin: Returns a request's headers with the service that the
            request comes from.
        address_upstream: Returns the headers for an upstream from those of
            the call, the seconds that are left and the id of the upstream
            that is meant.
        build_refusal: Builds the answer to a refused request from its id and
            the refusal.
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
