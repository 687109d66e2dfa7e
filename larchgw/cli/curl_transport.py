"""The operator client's transport: Tornado's blocking client over curl."""

from __future__ import annotations

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClient, HTTPClientError

from .operator_client import Call, NoAnswer, Reply

SILENCE_S = 1.0  # a control process answers, or says that it cannot, within this
LARGE_SILENCE_S = 3.0  # where the call or its answer is a whole configuration of some size
LARGE_BYTES = 256 * 1024
NO_STATUS = 599  # what Tornado gives where there was no answer


class CurlTransport:
    """Blocks while a call is under way. Raises NoAnswer."""

    def __init__(self) -> None:
        self._client = HTTPClient(CurlAsyncHTTPClient)

    def send(self, address: str, call: Call) -> Reply:
        """See operator_client.Transport."""
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
                connect_timeout=SILENCE_S,
                request_timeout=LARGE_SILENCE_S if is_large else SILENCE_S,
            )
        except (HTTPClientError, OSError) as error:
            raise NoAnswer(f"{address}: {error}") from error
        if response.code == NO_STATUS:
            raise NoAnswer(f"{address}: {getattr(response.error, 'message', response.error)}")
        return Reply(response.code, response.body, response.headers.get("Location", ""))
