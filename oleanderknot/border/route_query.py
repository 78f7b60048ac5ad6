"""Query string of a question about where a request would go."""

import typing
import urllib.parse

import pydantic

from oleanderknot import model

PATH = '/-/route'


class RouteQueryString(pydantic.BaseModel):
    """Parameters of the query; see ``model.RouteQuery``."""

    model_config = pydantic.ConfigDict(extra='forbid')

    host: typing.Annotated[str, pydantic.Field(min_length=1)]
    path: typing.Annotated[str, pydantic.Field(pattern='^/')]
    method: typing.Annotated[str, pydantic.Field(pattern='^[A-Z]+$')] = 'GET'
    organisation: str = ''
    request_id: typing.Annotated[str, pydantic.Field(min_length=1)] = 'route'


def parse_route_query(target: str) -> model.RouteQuery:
    """Parse the path and query of a request for ``PATH``.

    Raises:
        ValueError: A parameter is missing, unknown or malformed.
    """
    query = RouteQueryString.model_validate(
        dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
    )
    return model.RouteQuery(
        host=query.host.lower(),
        path=query.path,
        method=query.method,
        organisation=query.organisation,
        request_id=query.request_id,
    )


def format_route_query(query: model.RouteQuery) -> str:
    """Build the path and query; the inverse of ``parse_route_query``."""
    return '%s?%s' % (
        PATH,
        urllib.parse.urlencode(
            {
                'host': query.host,
                'path': query.path,
                'method': query.method,
                'organisation': query.organisation,
                'request_id': query.request_id,
            }
        ),
    )
