"""Small HTTP client for tests."""

import http.client
import json
import typing
import urllib.parse

TIMEOUT_S = 20


def request(
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request over a connection of its own.

    Args:
        method: HTTP method.
        url: Address.
        body: Request body.
        headers: Request headers.
        timeout_s: Seconds to wait for each part of the answer.

    Returns:
        Status, headers with lower-case names, and the whole body.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The answer was cut or malformed.
    """
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.netloc, timeout=timeout_s)
    try:
        path = urllib.parse.urlunsplit(('', '', *parts[2:]))
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        content = answer.read()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, names, content
    finally:
        connection.close()


def get_json(url: str) -> typing.Any:
    """Return the JSON body of an address.

    Raises:
        ConnectionError: The other side is not ready to answer.
    """
    status, _, body = request('GET', url)
    if status >= 500:
        raise ConnectionError('%s answered %d' % (url, status))
    return json.loads(body)


def post_json(url: str, value: object) -> int:
    """Post a JSON body and return the status."""
    return request('POST', url, body=json.dumps(value).encode())[0]
