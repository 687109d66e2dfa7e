"""The emulated operator: brings configurations and changes, resends what got no answer, reads back."""

from __future__ import annotations

import asyncio
import copy
import json
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPResponse

from .records import ConfigurationCall, OperatorAnswer, ReadSeen, Records

ANSWER_S = 1.0  # of silence, before it goes on to another control process
REDIRECTS = 2
FIRST_PAUSE_S, MOST_PAUSE_S = 0.1, 1.0  # between two sends of one call, growing
REFUSED_AT_ONCE = (400, 409, 412, 413, 422)
PATIENCE_S = 30.0  # for a call to get a clear answer
OK, TEMPORARY, NOT_FOUND = 200, 307, 404
REFUSALS_HEARD = 2  # of other kinds, before a call ends
NO_ANSWER = 599  # Tornado's status where none came

Configuration = dict[str, Any]


def changed(whole: Configuration, change: Configuration) -> Configuration:
    """The configuration that a change makes of a whole one."""
    result = copy.deepcopy(whole)
    result["config_version"] = change["config_version"]
    for kind in ("routes", "services"):
        added = {item["name"]: item for item in change.get("add", {}).get(kind, [])}
        gone = set(change.get("remove", {}).get(kind, []))
        items = [
            added.pop(item["name"], item)
            for item in result[kind]
            if item["name"] in added or item["name"] not in gone
        ]
        result[kind] = items + list(added.values())
    return result


def canonical(whole: Configuration) -> Configuration:
    """The same with its lists in order of names: that order means nothing."""
    by_name = {
        kind: sorted(whole.get(kind, []), key=lambda item: str(item["name"]))
        for kind in ("routes", "services")
    }
    return json.loads(json.dumps({**whole, **by_name}))  # type: ignore[no-any-return]


class Operator:
    """Calls any of the control processes that `controls` names.

    `lost_share` of the answers get lost, and `copies` of each call are sent at once, as by a network that
    delivers one twice.
    """

    def __init__(
        self,
        controls: Callable[[], list[str]],
        records: Records,
        now: Callable[[], float],
        rng: random.Random,
        lost_share: float = 0.0,
    ) -> None:
        self._controls, self._records, self._now, self._random = controls, records, now, rng
        self.lost_share, self.copies = lost_share, 1
        self.current: Configuration = {"config_version": 0, "routes": [], "services": []}
        self._newest: tuple[ConfigurationCall, str, bytes] | None = None
        self._client = AsyncHTTPClient(force_instance=True)

    @property
    def version(self) -> int:
        """The newest version that was acknowledged."""
        return int(self.current["config_version"])

    async def replace(self, whole: Configuration, built_on: int | None = None, valid: bool = True) -> bool:
        """Brings a whole configuration. Returns whether it was acknowledged."""
        return await self._submit("/Config.Replace", whole, whole if valid else None, built_on)

    async def change(self, change: Configuration, built_on: int | None = None) -> bool:
        """Brings a change of the current configuration. Returns whether it was acknowledged."""
        return await self._submit("/Config.Change", change, changed(self.current, change), built_on)

    async def race(self, one: Configuration, other: Configuration) -> int:
        """Brings two changes on top of the same version at once. Returns how many were acknowledged."""
        built_on = self.version
        taken = await asyncio.gather(self.change(one, built_on), self.change(other, built_on))
        return sum(taken)

    async def read(self, patience_s: float) -> Configuration | None:
        """The configuration in force; None if none came in that time. It is kept for the judge."""
        end = self._now() + patience_s
        self._records.read_back = None
        while self._now() < end:
            found = await self.look()
            if found:
                self._records.read_back = found
                break
            await asyncio.sleep(FIRST_PAUSE_S)
        self._records.read_back_at = self._now()
        return self._records.read_back

    async def look(self, control: str | None = None) -> Configuration | None:
        """One read, at that control process or any. Returns what it told, empty where there is none yet."""
        sent_at = self._now()
        response = await self._call("GET", "/Config.Read", None, {}, control)
        if response is None or response.code not in (OK, NOT_FOUND):
            return None
        found = canonical(json.loads(response.body)) if response.code == OK else {}
        self._records.reads.append(ReadSeen(_host(response.effective_url), sent_at, self._now(), found))
        return found

    def close(self) -> None:
        """Ends all calls."""
        self._client.close()

    async def _submit(
        self, path: str, message: Configuration, result: Configuration | None, built_on: int | None
    ) -> bool:
        """Sends one and the same call until its answer is clear."""
        base = self.version if built_on is None else built_on
        call = ConfigurationCall(
            int(message["config_version"]),
            base,
            canonical(result) if result is not None else None,
            self._now(),
        )
        self._records.configurations.append(call)
        body, pause, refusals = json.dumps(message).encode(), FIRST_PAUSE_S, 0
        taken_unheard = False
        while self._now() < call.sent_at + PATIENCE_S:
            statuses = await asyncio.gather(*(self._send(path, body, base) for _ in range(self.copies)))
            status = _clearest(statuses)
            lost = self._random.random() < self.lost_share
            call.refused_after_acknowledgement |= OK in statuses and any(map(_is_refusal, statuses))
            taken_unheard |= lost and status == OK
            if status == OK and not lost:
                self._taken(call, result, path, body)
                return True
            refusals += _is_refusal(status) and not lost
            if refusals > REFUSALS_HEARD or (status in REFUSED_AT_ONCE and not lost):
                call.refused = not taken_unheard
                call.refused_after_acknowledgement |= taken_unheard
                return False
            await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, MOST_PAUSE_S)
        return False

    async def _send(self, path: str, body: bytes, built_on: int) -> int:
        """The status of one call."""
        headers = {"X-Built-On": str(built_on), "Content-Type": "application/json"}
        response = await self._call("POST", path, body, headers)
        return response.code if response is not None else NO_ANSWER

    def _taken(self, call: ConfigurationCall, result: Configuration | None, path: str, body: bytes) -> None:
        call.acknowledged_at = min(call.acknowledged_at, self._now())
        if result is not None and call.version > self.version:
            self.current = copy.deepcopy(result)
            self._newest = (call, path, body)

    async def send_again(self) -> None:
        """Sends the newest acknowledged call again: it must not be refused."""
        if self._newest is not None:
            call, path, body = self._newest
            call.refused_after_acknowledgement |= _is_refusal(await self._send(path, body, call.built_on))

    async def catch_up(self) -> None:
        """Takes what is in force for current: a call without a clear answer may have been taken."""
        found = await self.read(PATIENCE_S)
        if found is not None:
            self.current = found

    async def _call(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str], control: str | None = None
    ) -> HTTPResponse | None:
        """One call with its redirections. None where there was no answer."""
        url = f"http://{control or self._random.choice(self._controls())}{path}"
        for _ in range(REDIRECTS + 1):
            sent_at = self._now()
            try:
                response = await self._client.fetch(
                    url,
                    method=method,
                    body=body,
                    headers=headers,
                    request_timeout=ANSWER_S,
                    raise_error=False,
                    follow_redirects=False,
                )
            except (HTTPClientError, OSError):
                return None
            if response.code == OK or _is_refusal(response.code):
                answer = OperatorAnswer(_host(url), sent_at, self._now(), response.code)
                self._records.operator_answers.append(answer)
            if response.code != TEMPORARY or "Location" not in response.headers:
                break
            url = response.headers["Location"]
        return response


def _is_refusal(status: int) -> bool:
    return 400 <= status < 500 and status not in (408, 429)


def _clearest(statuses: list[int]) -> int:
    """Of the answers to copies of one call, the one that tells most."""
    if OK in statuses:
        return OK
    return next((status for status in statuses if _is_refusal(status)), statuses[0])


def _host(url: str) -> str:
    return urlsplit(url).hostname or ""
