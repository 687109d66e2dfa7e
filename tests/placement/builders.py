"""Builders of models, runners, reports and orders for the placement tests."""

from collections.abc import Iterable

from larchgw.configuration.model import Configuration, Model, Runtime, Service
from larchgw.emulator.placing import SERVICE
from larchgw.identifiers import RunnerId
from larchgw.placement.load_rate_limit import LoadRateLimiter
from larchgw.placement.model import Order, OrderAction, PlacementSettings, RunnerReport
from larchgw.placement.reconciler import Reconciler
from larchgw.rpc.generated.ttypes import ModelDemand
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage

WINDOW_S, RATE_FACTOR = 5.0, 1.1
MB_PER_GB = 1000.0
ADDRESS = "10.0.0.1:80"
R0, R1 = RunnerId("r0"), RunnerId("r1")


def model_demand(
    model: str = "m0",
    adapter: str = "",
    arrivals: int = 0,
    waiting: int = 0,
    in_flight: int = 0,
    urgency_ms: int = 0,
    worth: float = 0.0,
) -> ModelDemand:
    return ModelDemand(SERVICE, model, adapter, arrivals, waiting, in_flight, urgency_ms, worth)


def make_configuration(count: int = 4, load_s: float = 1.0) -> Configuration:
    """Returns one service whose runners have memory for three of its `count` models."""
    models = tuple(Model(f"m{n}", 70 * MB_PER_GB, load_s, 0, 66.0) for n in range(count))
    runtime = Runtime(slots=64, models=models, weights_mb=220 * MB_PER_GB, adapter_slots=8, loads_per_s=2.0)
    return Configuration(1, services=(Service(SERVICE, runtime=runtime),))


def runner_record(
    runner_id: str = "r0", held: Iterable[str] = (), stage: Stage = Stage.READY
) -> RunnerRecord:
    models = tuple(HeldModel(name, 1) for name in held)
    return RunnerRecord(RunnerId(runner_id), SERVICE, ADDRESS, "z0", stage, 64, models=models)


def runner_report(held: Iterable[str] = (), is_occupied: bool = False, order_count: int = 0) -> RunnerReport:
    return RunnerReport({name: frozenset() for name in held}, is_occupied, order_count)


def load(model: str, runner_id: str = "r0", revision: int = 0, adapter: str = "") -> Order:
    return Order(RunnerId(runner_id), ADDRESS, OrderAction.LOADING, model, adapter, if_revision=revision)


def unload(model: str, runner_id: str = "r0", revision: int = 0) -> Order:
    return Order(RunnerId(runner_id), ADDRESS, OrderAction.UNLOADING, model, if_revision=revision)


def make_reconciler(configuration: Configuration | None = None) -> Reconciler:
    """Returns a reconciler with the service and no runners."""
    reconciler = Reconciler(PlacementSettings(), LoadRateLimiter(2.0, WINDOW_S, RATE_FACTOR))
    reconciler.configure(configuration or make_configuration())
    return reconciler


def make_identified(held: Iterable[str] = ("m0",), order_count: int = 0) -> Reconciler:
    """Returns a reconciler that has processed a report of runner "r0" at time 0."""
    reconciler = make_reconciler()
    reconciler.update_runner(0.0, runner_record("r0", held))
    reconciler.receive_report(0.0, R0, runner_report(held, order_count=order_count))
    return reconciler
