"""Values that the placement tests are made of: models, runners, reports and orders, by short calls."""

from larchgw.configuration.model import Configuration, Model, Runtime, Service
from larchgw.emulator.placing import SERVICE
from larchgw.placement.load_rate_limit import LoadRateLimiter
from larchgw.placement.model import Order, OrderAction, PlacementSettings, RunnerReport
from larchgw.placement.reconciler import Reconciler
from larchgw.rpc.generated.ttypes import ModelDemand
from larchgw.runner_directory.runner_record import HeldModel, RunnerRecord, Stage

WINDOW_S, RATE_FACTOR = 5.0, 1.1
MB_PER_GB = 1000.0
ADDRESS = "10.0.0.1:80"


def model_demand(model="m0", adapter="", arrivals=0, waiting=0, in_flight=0, urgency_ms=0, worth=0.0):
    return ModelDemand(SERVICE, model, adapter, arrivals, waiting, in_flight, urgency_ms, worth)


def make_configuration(count=4, load_s=1.0):
    """One service whose runners hold three of its `count` models."""
    models = tuple(Model(f"m{n}", 70 * MB_PER_GB, load_s, 0, 66.0) for n in range(count))
    runtime = Runtime(slots=64, models=models, weights_mb=220 * MB_PER_GB, adapter_slots=8, loads_per_s=2.0)
    return Configuration(1, services=(Service(SERVICE, runtime=runtime),))


def runner_record(runner_id="r0", held=(), stage=Stage.READY):
    models = tuple(HeldModel(name, 1) for name in held)
    return RunnerRecord(runner_id, SERVICE, ADDRESS, "z0", stage, 64, models=models)


def runner_report(held=(), is_occupied=False, order_count=0):
    return RunnerReport({name: frozenset() for name in held}, is_occupied, order_count)


def load(model, runner_id="r0", revision=0, adapter=""):
    return Order(runner_id, ADDRESS, OrderAction.LOADING, model, adapter, if_revision=revision)


def unload(model, runner_id="r0", revision=0):
    return Order(runner_id, ADDRESS, OrderAction.UNLOADING, model, if_revision=revision)


def make_reconciler(configuration=None):
    """A reconciler that knows the service and no runner."""
    reconciler = Reconciler(PlacementSettings(), LoadRateLimiter(2.0, WINDOW_S, RATE_FACTOR))
    reconciler.configure(configuration or make_configuration())
    return reconciler


def make_identified(held=("m0",), order_count=0):
    """A reconciler that has read the report of runner "r0" at time 0."""
    reconciler = make_reconciler()
    reconciler.update_runner(0.0, runner_record("r0", held))
    reconciler.receive_report(0.0, "r0", runner_report(held, order_count=order_count))
    return reconciler
