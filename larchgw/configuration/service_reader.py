"""Reads one service of a configuration, with its runtime and models."""

from __future__ import annotations

from .json_reader import JsonReader
from .model import Model, Runtime, Service


def read_service(value: object, path: str, reader: JsonReader) -> Service | None:
    """Returns the service in this JSON object; None after adding errors if it is invalid."""
    raw = reader.read_object(value, path)
    if raw is None:
        return None
    raw_runtime = raw.get("runtime")
    runtime = None if raw_runtime is None else _read_runtime(raw_runtime, f"{path}.runtime", reader)
    service = reader.read_record(Service, {**raw, "runtime": runtime}, path)
    if service is not None:
        reader.require(service.name != "", f"{path}.name", "is empty", "name the service")
    return service


def _read_runtime(value: object, path: str, reader: JsonReader) -> Runtime | None:
    raw = reader.read_object(value, path)
    if raw is None:
        return None
    raw_models = raw.get("models")
    models_path = f"{path}.models"
    models = [] if raw_models is None else reader.read_items(raw_models, models_path, _read_model)
    reader.require_unique_names(models_path, models)
    return reader.read_record(Runtime, {**raw, "models": tuple(model for _, model in models)}, path)


def _read_model(value: object, path: str, reader: JsonReader) -> Model | None:
    raw = reader.read_object(value, path)
    model = None if raw is None else reader.read_record(Model, raw, path)
    if model is not None:
        reader.require(model.name != "", f"{path}.name", "is empty", "name the model")
    return model
