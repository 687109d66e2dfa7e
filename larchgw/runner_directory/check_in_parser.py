"""Parses the JSON body of a check-in into a RunnerRecord.

Unknown fields are ignored. Only `service` and `address` are required; other missing fields get the defaults
of RunnerRecord. The JSON names are part of the protocol between runners and control processes, and are
therefore written out as string literals.
"""

from __future__ import annotations

import json
from typing import Any

from ..identifiers import RunnerId
from .errors import CheckInError
from .runner_record import HeldModel, RunnerRecord, Stage

MAX_EXACT_NUMBER = 2.0**53  # above this, a JSON number may not be represented exactly
MAX_PORT = 65535
STAGES_BY_STATE = {"ready": Stage.READY, "draining": Stage.DRAINING}


def parse_check_in(runner_id: str, body: bytes) -> RunnerRecord:
    """Parses a check-in.

    Args:
        runner_id: The id from the path of the request.
        body: The body of the request.

    Returns:
        The record of the runner, without an owner.

    Raises:
        CheckInError: The check-in is invalid.
    """
    if not runner_id:
        raise CheckInError("id", "is empty", "put the runner's id into the path")
    raw = _decode(body)
    return RunnerRecord(
        id=RunnerId(runner_id),
        service=_text(raw, "service", is_required=True),
        address=_address(raw),
        zone=_text(raw, "zone"),
        stage=_stage(raw),
        slots=max(int(_number(raw, "slots", 1.0)), 1),
        config_version=_text(raw, "config_version"),
        phase=_text(raw, "phase"),
        warm_up_left_ms=max(_number(raw, "cold_left_ms", 0.0), 0.0),
        time_left_ms=_number(raw, "left_ms", -1.0),
        call_count=int(_number(raw, "call_count", 0.0)),
        models=_models(raw),
    )


def _decode(body: bytes) -> dict[str, Any]:
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise CheckInError("body", str(error), "send a JSON object") from error
    if not isinstance(raw, dict):
        raise CheckInError("body", "is no JSON object", "send an object with service and address")
    return raw


def _text(raw: dict[str, Any], field: str, is_required: bool = False) -> str:
    value = raw.get(field)
    if value is None and not is_required:
        return ""
    if isinstance(value, (int, float)) and not isinstance(value, bool) and not is_required:
        return str(value)
    if not isinstance(value, str) or (is_required and not value):
        raise CheckInError(field, f"is {value!r}", "send a text")
    return value


def _number(raw: dict[str, Any], field: str, default: float) -> float:
    value = raw.get(field)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < MAX_EXACT_NUMBER:
        raise CheckInError(field, f"is {value!r}", "send a number")
    return float(value)


def _address(raw: dict[str, Any]) -> str:
    address = _text(raw, "address", is_required=True)
    host, colon, port = address.rpartition(":")
    if not (host and colon and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise CheckInError("address", f"is {address!r}", 'send "host:port"')
    return address


def _stage(raw: dict[str, Any]) -> Stage:
    state = raw.get("state", "ready")
    stage = STAGES_BY_STATE.get(state) if isinstance(state, str) else None
    if stage is None:
        raise CheckInError("state", f"is {state!r}", f"send one of {', '.join(STAGES_BY_STATE)}")
    return stage


def _models(raw: dict[str, Any]) -> tuple[HeldModel, ...]:
    models = raw.get("models") or []
    if not isinstance(models, list):
        raise CheckInError("models", "is no list", "send a list of models")
    return tuple(_model(model, f"models[{index}]") for index, model in enumerate(models))


def _model(raw: object, field: str) -> HeldModel:
    if not isinstance(raw, dict):
        raise CheckInError(field, "is no JSON object", "send an object with a name")
    adapters = raw.get("adapters") or []
    if not isinstance(adapters, list) or not all(isinstance(name, str) for name in adapters):
        raise CheckInError(f"{field}.adapters", "is no list of names", "send a list of texts")
    version = int(_number(raw, "config_version", 0.0))
    return HeldModel(_text(raw, "name", is_required=True), version, tuple(adapters))
