"""`larchgw system config read|replace|change`: the operators' API on the command line."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..configuration.settings import NodeSettings
from .command import Command, decimal, file, integer, string_arguments
from .errors import UnclearOutcomeError, UsageError
from .operator_client import Call, OperatorClient, Reply, RetryPolicy, Transport
from .system_common import ExitStatus, addresses, fail

DEFAULT_RETRY_S = "30"  # longer than a failover or a restart of all machines
OK = 200


@string_arguments
def read(*, at: str | None = None, seconds: str = DEFAULT_RETRY_S) -> Command:
    """Prints the latest acknowledged configuration as JSON.

    Args:
        at: Control processes to query, as HOST:PORT of their control ports, separated by commas; by default,
            the seeds in the settings file that LARCHGW_NODE_FILE names.
        seconds: Time limit for attempts, in seconds.
    """
    client = _client(at, seconds)
    return Command(lambda: _read(client()))


@string_arguments
def replace(
    file: str, *, built_on: str | None = None, at: str | None = None, seconds: str = DEFAULT_RETRY_S
) -> Command:
    """Replaces the whole configuration.

    Exits with status 1 if the system refused it, and 3 if there was no definite response.

    Args:
        file: The configuration (JSON).
        built_on: Configuration version that it is based on; 0 for the first configuration.
        at: As for read.
        seconds: Time limit for attempts, in seconds; the same call is repeated until a definite response.
    """
    return _change_command("/Config.Replace", file, built_on, at, seconds)


@string_arguments
def change(
    file: str, *, built_on: str | None = None, at: str | None = None, seconds: str = DEFAULT_RETRY_S
) -> Command:
    """Adds, replaces and removes named items of the configuration; exit statuses as for replace.

    Args:
        file: The change (JSON): config_version, add, remove.
        built_on: Configuration version that it is based on.
        at: As for read.
        seconds: As for replace.
    """
    return _change_command("/Config.Change", file, built_on, at, seconds)


def _change_command(path: str, name: str, built_on: str | None, at: str | None, seconds: str) -> Command:
    if built_on is None:
        raise UsageError(
            "--built-on: give the version that this change is based on; `larchgw system config read` "
            "prints the current one as config_version; use 0 for the first configuration"
        )
    version = integer("built-on", built_on, 0)
    source = file("file", name, exists=True)
    assert source is not None
    client = _client(at, seconds)
    return Command(lambda: _send(client(), path, source, version))


def _control_addresses(settings: NodeSettings) -> list[str]:
    return settings.seed_list


def _client(at: str | None, seconds: str) -> Callable[[], OperatorClient]:
    """Returns a factory for the client, so that curl is loaded only when the command runs."""
    control_addresses = addresses(at, _control_addresses)
    policy = RetryPolicy(time.monotonic, time.sleep, random.Random(), decimal("seconds", seconds, 0.1))
    return lambda: OperatorClient(control_addresses, _transport(), policy)


def _transport() -> Transport:
    from .curl_transport import CurlTransport

    return CurlTransport()


def _read(client: OperatorClient) -> int:
    try:
        reply = client.call(Call("GET", "/Config.Read"))
    except UnclearOutcomeError as error:
        return fail(str(error), ExitStatus.UNCLEAR)
    if reply.status != OK:
        return fail(refusal(reply), ExitStatus.REFUSED)
    print(json.dumps(json.loads(reply.body), indent=1))
    return ExitStatus.DONE


def _send(client: OperatorClient, path: str, source: Path, built_on: int) -> int:
    try:
        reply = client.call(Call("POST", path, {"X-Built-On": str(built_on)}, source.read_bytes()))
    except UnclearOutcomeError as error:
        return fail(
            f"{error}. It may have been taken: send the same file again, or read the configuration",
            ExitStatus.UNCLEAR,
        )
    if reply.status != OK:
        return fail(refusal(reply), ExitStatus.REFUSED)
    print(f"acknowledged; the current version is {_answer(reply).get('config_version')}")
    return ExitStatus.DONE


def refusal(reply: Reply) -> str:
    """Formats a refusal with the control process's reason: field, problem and remedy."""
    answer = _answer(reply)
    reason = answer.get("error") or reply.body[:200].decode("utf-8", "backslashreplace")
    current = answer.get("config_version")
    known = "" if current is None else f" (the current version is {current})"
    return f"refused with {reply.status}: {reason}{known}"


def _answer(reply: Reply) -> dict[str, Any]:
    try:
        answer = json.loads(reply.body)
    except ValueError:
        return {}
    return answer if isinstance(answer, dict) else {}
