"""What the control processes say of themselves: who is primary, and whether all of them are in its view."""

from __future__ import annotations

import json
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from .rig import Machine, Rig

ANSWER_S = 2.0  # that a busy process may take
PRIMARY = "primary"


class Watch:
    """Asks `GET /status` at control processes."""

    def __init__(self, rig: Rig) -> None:
        self._rig = rig
        self._client = AsyncHTTPClient(force_instance=True)

    async def status(self, machine: Machine) -> dict[str, Any]:
        """What it tells; empty where it tells nothing."""
        try:
            response = await self._client.fetch(
                f"http://{machine.control}/status", request_timeout=ANSWER_S, connect_timeout=ANSWER_S
            )
            found = json.loads(response.body)
        except (HTTPClientError, OSError, ValueError):
            return {}
        return found if isinstance(found, dict) else {}

    async def primary(self) -> Machine | None:
        """The primary of the newest view that anyone tells of; None where nobody calls itself that."""
        found = [
            (status["view"]["epoch"], machine)
            for machine in self._rig.controls
            if (status := await self.status(machine)).get("role") == PRIMARY and status.get("view")
        ]
        return max(found, key=lambda pair: pair[0])[1] if found else None

    async def is_whole(self) -> bool:
        """Whether every control process is in one and the same view and hears the others."""
        told = [await self.status(machine) for machine in self._rig.controls]
        if not all(status.get("view") and not status.get("isolated") for status in told):
            return False
        views = [status["view"] for status in told]
        members = {views[0]["primary"], *views[0]["backups"]}
        return len({view["epoch"] for view in views}) == 1 and members == {
            status["identity"] for status in told
        }

    def close(self) -> None:
        """Ends all calls."""
        self._client.close()
