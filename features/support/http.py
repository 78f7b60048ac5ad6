"""Minimal HTTP client for tests."""

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
    """Send one request over a new connection.

    Args:
        method: HTTP method.
        url: Request URL.
        body: Request body.
        headers: Request headers.
        timeout_s: Timeout of each socket operation in seconds.

    Returns:
        Status, headers with lower-case names, and the whole body.

    Raises:
        OSError: The connection failed.
        http.client.HTTPException: The response was truncated or malformed.
    """
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(parts.netloc, timeout=timeout_s)
    try:
        path = urllib.parse.urlunsplit(('', '', *parts[2:]))
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        content = response.read()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return response.status, response_headers, content
    finally:
        connection.close()


def get_json(url: str) -> typing.Any:
    """Send a GET request and return the JSON body of the response.

    Raises:
        ConnectionError: The server responded with a 5xx status.
    """
    status, _, body = request('GET', url)
    if status >= 500:
        raise ConnectionError('%s responded with status %d' % (url, status))
    return json.loads(body)


def post_json(url: str, value: object) -> int:
    """Send a POST request with a JSON body and return the status."""
    return request('POST', url, body=json.dumps(value).encode())[0]
