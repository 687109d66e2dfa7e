"""`larchgw system view|runners|placement`: queries control processes over RPC."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

from ..distribution.keys import EXPECTED_LOADS_PREFIX, RUNNER_PREFIX
from ..rpc.client import RpcClient
from ..rpc.errors import RpcError
from ..rpc.generated.ttypes import ControlStatus, Entry, PlacementStatus, PullRequest, StatusRequest
from ..runner_directory.runner_record import RunnerRecord
from ..runtime.addresses import seed_rpc_addresses
from .command import Command, string_arguments
from .system_common import ExitStatus, addresses, columns, fail

ANSWER_TIMEOUT_S = 3.0
CALLER = "larchgw-system"  # sent as `node_name` in calls


@string_arguments
def view(*, at: str | None = None) -> Command:
    """Shows the status of each control process: view, configuration, processes, placer, runners and disk.

    Args:
        at: Control processes to query, as HOST:PORT of their RPC port (the first spare port), separated by
            commas; by default, the seeds in the settings file that LARCHGW_NODE_FILE names.
    """
    rpc_addresses = addresses(at, seed_rpc_addresses)
    return Command(lambda: asyncio.run(_view(rpc_addresses)))


@string_arguments
def runners(*, at: str | None = None) -> Command:
    """Lists the runners with their loaded models and the loads expected there.

    Args:
        at: As for view; the first process that responds is used.
    """
    rpc_addresses = addresses(at, seed_rpc_addresses)
    return Command(lambda: asyncio.run(_first(rpc_addresses, _runners)))


@string_arguments
def placement(*, at: str | None = None) -> Command:
    """Shows models with demand and holders, pending orders, and the number of loads that may start now.

    The status comes from the placer.

    Args:
        at: As for view; the first process that responds gives the address of the placer.
    """
    rpc_addresses = addresses(at, seed_rpc_addresses)
    return Command(lambda: asyncio.run(_first(rpc_addresses, _placement)))


async def status_of(address: str, placement: bool = False) -> ControlStatus:
    """Fetches the status of the process at this RPC address. Raises RpcError."""
    client = RpcClient(address)
    try:
        status: ControlStatus = await client.call("status", StatusRequest(placement), ANSWER_TIMEOUT_S)
    finally:
        client.close()
    return status


async def entries_of(address: str, prefixes: list[str]) -> list[Entry]:
    """Fetches the registry entries with these prefixes from the process at this address. Raises RpcError."""
    client = RpcClient(address)
    have: dict[str, int] = {}
    entries: dict[str, Entry] = {}
    try:
        while True:
            reply = await client.call("pull", PullRequest(CALLER, have, 0, prefixes), ANSWER_TIMEOUT_S)
            entries.update({entry.key: entry for entry in reply.entries})
            if not reply.more:
                return list(entries.values())
            have = reply.upto
    finally:
        client.close()


async def _view(rpc_addresses: Sequence[str]) -> int:
    replies = await asyncio.gather(*(status_of(address) for address in rpc_addresses), return_exceptions=True)
    answered = 0
    for address, reply in zip(rpc_addresses, replies, strict=True):
        if isinstance(reply, ControlStatus):
            answered += 1
            print("\n".join(view_lines(address, reply)))
        elif isinstance(reply, RpcError):
            print(f"{address}: no response: {reply}")
        else:
            raise reply
    return (
        ExitStatus.DONE if answered else fail("no process responded; check the addresses", ExitStatus.UNCLEAR)
    )


async def _first(rpc_addresses: Sequence[str], show: Callable[[str], Awaitable[int]]) -> int:
    """Runs `show` for the first process that responds."""
    problem = ""
    for address in rpc_addresses:
        try:
            return await show(address)
        except RpcError as error:
            problem = str(error)
    return fail(f"no process responded: {problem}; check the addresses", ExitStatus.UNCLEAR)


async def _runners(address: str) -> int:
    print("\n".join(runner_lines(await entries_of(address, [RUNNER_PREFIX, EXPECTED_LOADS_PREFIX]))))
    return ExitStatus.DONE


async def _placement(address: str) -> int:
    status = await status_of(address, placement=True)
    if status.placement is None and status.placer:
        status = await status_of(status.placer, placement=True)
    if status.placement is None:
        return fail("no process is the placer now; retry after a lease term", ExitStatus.UNCLEAR)
    print("\n".join(placement_lines(status.node_name, status.placement)))
    return ExitStatus.DONE


def view_lines(address: str, status: ControlStatus) -> list[str]:
    """Formats the status of one process."""
    disk = status.disk
    isolated = ", cut off from the majority" if status.isolated else ""
    lines = [
        f"{status.node_name} at {address}: {status.role}{isolated}",
        f"  identity       {status.identity}",
    ]
    if status.view is None:
        lines.append("  view           none yet")
    else:
        lines += [
            f"  view           epoch {status.view.epoch}, primary {status.view.primary}",
            f"  backups        {', '.join(status.view.backups) or 'none'}",
            f"  witnesses      {', '.join(status.view.witnesses)}",
        ]
    stages = ", ".join(f"{count} {stage}" for stage, count in sorted(status.runners.items()))
    free = f"{disk.free_bytes >> 20} MiB free" if disk.free_bytes >= 0 else "free space not told"
    version = status.config_version or "none"
    lines += [
        f"  configuration  {version}, record {status.committed_index} committed",
        f"  placer         {status.placer or 'nobody known'}, fence {status.placer_fence}",
        f"  runners        {stages or 'none'}",
        f"  disk           log {disk.log_bytes} bytes, records {disk.first_index} to {disk.last_index} "
        f"(durable up to {disk.durable_index}), {free}, "
        f"{'with' if disk.has_reserve else 'without'} reserve",
        "  processes",
    ]
    table = columns(
        ("name", "role", "address", "zone", "state"),
        [
            (process.name, process.role, process.address, process.zone, process.state)
            for process in status.processes
        ],
    )
    return lines + [f"    {line}" for line in table]


def runner_lines(entries: Sequence[Entry]) -> list[str]:
    """Formats the runners in these registry entries as a table, with their number by stage."""
    records = [RunnerRecord.decode(entry.value) for entry in entries if entry.key.startswith(RUNNER_PREFIX)]
    expected = {
        entry.key.removeprefix(EXPECTED_LOADS_PREFIX): json.loads(entry.value)
        for entry in entries
        if entry.key.startswith(EXPECTED_LOADS_PREFIX)
    }
    records.sort(key=lambda record: (record.service, record.stage, record.id))
    rows = [
        (
            record.id,
            record.service,
            record.address,
            record.zone,
            record.stage.name.lower(),
            _models(record),
            _expected(expected.get(record.id, {})),
        )
        for record in records
    ]
    stages = Counter(record.stage.name.lower() for record in records)
    counted = ", ".join(f"{count} {stage}" for stage, count in sorted(stages.items()))
    return [
        *columns(("id", "service", "address", "zone", "stage", "models", "expected"), rows),
        f"runners: {counted or 'none'}",
    ]


def _models(record: RunnerRecord) -> str:
    return " ".join("+".join((model.name, *model.adapters)) for model in record.models) or "-"


def _expected(names: dict[str, float]) -> str:
    loads = [f"{name}:unloading" if ms < 0 else f"{name}:{ms:.0f}ms" for name, ms in sorted(names.items())]
    return " ".join(loads) or "-"


def placement_lines(node_name: str, status: PlacementStatus) -> list[str]:
    """Formats the placer's status: models with demand and holders, and pending orders."""
    models = [
        (
            model.service_name,
            model.model,
            round(model.rate, 2),
            model.waiting,
            model.in_flight,
            " ".join(model.holders) or "-",
            " ".join(model.coming) or "-",
        )
        for model in status.models
    ]
    orders = [
        (order.runner, order.action, order.name, order.age_ms, "yes" if order.accepted else "not yet")
        for order in status.orders
    ]
    return [
        f"placer {node_name}, fence {status.fence}: {status.load_room} of {status.load_limit} loads may "
        "begin now",
        *columns(("service", "model", "req/s", "waiting", "running", "holders", "loading"), models),
        f"orders under way: {len(orders)}",
        *(columns(("runner", "order", "name", "age ms", "accepted"), orders) if orders else []),
    ]
