"""The model runners of a simulated deployment, and the demand for their models."""

from __future__ import annotations

from random import Random

from ...configuration.model import Configuration, Model, Runtime, Service
from ...emulator.modelrunner import Capacity, ModelRunner, WeightStore
from ...identifiers import RunnerId
from ...placement.load_rate_limit import EXTRA_LOADS
from ...rpc.generated.ttypes import DemandReport, ModelDemand
from ...runner_directory.runner_record import HeldModel, RunnerRecord, Stage

SERVICE = "chat"
RUNNERS = 5
MODELS = 40  # more than all runners can hold, so that there is always an order to send
MODEL_MB = 70_000.0
RUNNER_MB = 220_000.0  # three models
LOAD_S = 0.8
LOADS_PER_S = 2.0
LOAD_WINDOW_S = 5.0
LOAD_RATE_FACTOR = 1.1
MAX_LOADS = int(LOADS_PER_S * LOAD_WINDOW_S * LOAD_RATE_FACTOR + EXTRA_LOADS)
REPORT_INTERVAL_S = 0.25  # between demand reports
REQUESTED_MODELS = 4  # number of models in one report
SHIFT_INTERVAL_S = 1.0  # after which the demand moves to other models


def make_configuration() -> Configuration:
    """Makes a configuration with one service, whose runners hold up to three models each."""
    models = tuple(Model(f"m{number}", MODEL_MB, LOAD_S, 0, 66.0) for number in range(MODELS))
    runtime = Runtime(slots=64, models=models, weights_mb=RUNNER_MB, adapter_slots=4, loads_per_s=LOADS_PER_S)
    return Configuration(1, services=(Service(SERVICE, runtime=runtime),))


def make_runners(configuration: Configuration) -> dict[RunnerId, ModelRunner]:
    """Makes runners that hold two models each at the start."""
    runtime = configuration.services[0].runtime
    assert runtime is not None
    models = {model.name: model for model in runtime.models}
    store = WeightStore(3)
    runners = {}
    for number in range(RUNNERS):
        name = RunnerId(f"r{number}")
        capacity = Capacity(runtime.weights_mb, runtime.adapter_slots)
        runner = ModelRunner(name, f"10.0.0.{number}:80", f"zone-{number % 3}", capacity, models, store)
        runner.preload(f"m{2 * number}")
        runner.preload(f"m{2 * number + 1}")
        runners[name] = runner
    return runners


def record_of(runner: ModelRunner) -> RunnerRecord:
    """The runner's record, as known to every control process."""
    models = tuple(HeldModel(name, 1, tuple(adapters)) for name, adapters in runner.held.items())
    return RunnerRecord(
        RunnerId(runner.id), SERVICE, runner.address, runner.zone, Stage.READY, 64, models=models
    )


def draw_demand(random_source: Random, now: float) -> DemandReport:
    """Draws a demand report: a few models, which change every second, with waiting requests."""
    first = int(now / SHIFT_INTERVAL_S) * REQUESTED_MODELS
    lines = [
        ModelDemand(
            SERVICE,
            f"m{(first + number) % MODELS}",
            "",
            random_source.randint(0, 2),
            1,
            1,
            4000,
            1.0,
        )
        for number in range(REQUESTED_MODELS)
    ]
    return DemandReport("edge", round(REPORT_INTERVAL_S * 1000.0), lines)
