"""Transport of the operator client, based on Tornado's blocking client with curl."""

from __future__ import annotations

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClient, HTTPClientError

from .errors import NoAnswerError
from .operator_client import Call, Reply

TIMEOUT_S = 1.0  # a control process responds within this time, if only to say that it is unavailable
LARGE_TIMEOUT_S = 3.0  # for calls whose request or response body may be a large configuration
LARGE_BYTES = 256 * 1024
NO_STATUS = 599  # the status that Tornado reports if there was no response


class CurlTransport:
    """`Transport` over curl; blocks until a call is complete."""

    def __init__(self) -> None:
        """Creates a client with its own event loop."""
        self._client = HTTPClient(CurlAsyncHTTPClient)

    def send(self, address: str, call: Call) -> Reply:
        """Sends one call; see `Transport.send`."""
        is_large = call.body is None or len(call.body) > LARGE_BYTES
        headers = {"Content-Type": "application/json", **call.headers}
        try:
            response = self._client.fetch(
                f"http://{address}{call.path}",
                method=call.method,
                headers=headers,
                body=call.body,
                raise_error=False,
                follow_redirects=False,
                connect_timeout=TIMEOUT_S,
                request_timeout=LARGE_TIMEOUT_S if is_large else TIMEOUT_S,
            )
        except (HTTPClientError, OSError) as error:
            raise NoAnswerError(address, str(error)) from error
        if response.code == NO_STATUS:
            raise NoAnswerError(address, str(getattr(response.error, "message", response.error)))
        return Reply(response.code, response.body, response.headers.get("Location", ""))
