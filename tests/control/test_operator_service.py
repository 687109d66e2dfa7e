"""Operator calls at the primary: accepted orders are applied once and acknowledged whenever resent."""

import asyncio
import json

import pytest
import testtools

from larchgw.control import configuration_state as state_module
from larchgw.control.configuration_state import ConfigurationState
from larchgw.control.errors import ReplicationUnavailableError
from larchgw.control.operator_order import OperatorOrder
from larchgw.control.operator_service import OperatorService
from larchgw.control.replicated_log import ReplicatedLog
from larchgw.emulator import virtual_loop


def configuration(version, path="/a/"):
    route = {
        "name": "r",
        "hostname": "h.example",
        "path_start": path,
        "kind": "writing",
        "deadline_ms": 1000,
        "service": "s",
        "tries": 1,
    }
    return {"config_version": version, "routes": [route], "services": [{"name": "s"}]}


def replace(version, base_version, path="/a/"):
    return OperatorOrder("replace", base_version, json.dumps(configuration(version, path)).encode())


class ScriptedReplication:
    """Commits every proposal, unless a test sets that the primary role or the answer is lost."""

    def __init__(self, state):
        self.state = state
        self.index = 0
        self.deposed = False
        self.answer_lost = False
        self.copies_missing = False
        self.undecided = []  # records without enough copies, whose callers are waiting or have timed out
        self.before_confirm = lambda: None
        self.before_commit = lambda: None

    async def wait_until_decided(self):
        while self.undecided:
            await asyncio.sleep(0.02)

    async def confirm_primary(self):
        await asyncio.sleep(0)
        self.before_confirm()
        if self.deposed:
            raise ReplicationUnavailableError("another is primary")

    async def propose(self, record):
        await asyncio.sleep(0)
        if self.deposed:
            raise ReplicationUnavailableError("another is primary")
        self.before_commit()
        if self.copies_missing:
            self.undecided.append(record)
            await asyncio.Event().wait()
        self.commit(record)
        if self.answer_lost:
            raise ReplicationUnavailableError("the view has changed")
        return self.index

    def decide(self):
        for record in self.undecided:
            self.commit(record)
        self.undecided = []

    def commit(self, record):
        self.index += 1
        self.state.apply(self.index, record)


class OperatorServiceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = ConfigurationState()
        self.replication = ScriptedReplication(self.state)
        self.service = OperatorService(self.state, self.replication)

    def submit(self, *orders):
        async def all_of_them():
            return await asyncio.gather(*(self.service.submit(order) for order in orders))

        return [answer.status for answer in asyncio.run(all_of_them())]

    def test_same_order_sent_again_is_acknowledged_again_and_applied_once(self):
        order = replace(5, 0)
        assert self.submit(order) == [200]
        assert self.submit(order) == [200]
        assert self.replication.index == 1

    def test_order_resent_after_later_ones_is_not_rejected(self):
        first, second = replace(5, 0), replace(7, 5)
        self.submit(first)
        self.submit(second)
        assert self.submit(first) == [200]
        assert self.state.version == 7

    def test_only_one_of_two_concurrent_changes_based_on_the_same_version_is_accepted(self):
        self.submit(replace(5, 0))
        statuses = self.submit(replace(7, 5, "/x/"), replace(8, 5, "/y/"))
        assert sorted(statuses) == [200, 412]

    def test_two_different_changes_with_the_same_version_are_not_both_acknowledged(self):
        self.submit(replace(5, 0))
        statuses = self.submit(replace(7, 5, "/x/"), replace(7, 5, "/y/"))
        assert sorted(statuses) == [200, 412]

    def test_an_order_whose_answer_was_lost_is_acknowledged_when_sent_again(self):
        order = replace(5, 0)
        self.replication.answer_lost = True
        assert self.submit(order) == [503]
        self.replication.answer_lost = False
        assert self.submit(order) == [200]
        assert self.replication.index == 1

    def test_deposed_primary_leaves_even_an_apparently_outdated_order_unconfirmed(self):
        self.submit(replace(5, 0))
        self.replication.deposed = True
        assert self.submit(replace(6, 4)) == [503]

    def test_order_accepted_by_another_primary_meanwhile_is_acknowledged(self):
        order = replace(5, 0)

        def accept_at_another_primary():
            if not self.state.is_accepted(order):
                self.replication.commit(order.encode())

        self.replication.before_confirm = accept_at_another_primary
        assert self.submit(order) == [200]
        assert self.replication.index == 1

    def test_an_order_overtaken_between_proposal_and_commit_is_not_acknowledged(self):
        self.submit(replace(5, 0))
        self.replication.before_commit = lambda: self.replication.commit(replace(6, 5, "/z/").encode())
        assert self.submit(replace(7, 5, "/x/")) == [412]
        assert self.state.version == 6

    def test_no_order_is_evaluated_or_proposed_while_that_of_a_timed_out_call_is_undecided(self):
        self.submit(replace(5, 0))
        base = configuration(6)
        base["services"].append({"name": "t"})
        self.submit(OperatorOrder("replace", 5, json.dumps(base).encode()))
        route = {
            "name": "q",
            "hostname": "q.example",
            "path_start": "/",
            "kind": "writing",
            "deadline_ms": 1000,
            "service": "t",
            "tries": 1,
        }
        removal, return_, use = (
            OperatorOrder("change", -1, json.dumps(body).encode())
            for body in (
                {"config_version": 7, "remove": {"services": ["t"]}},
                {"config_version": 8, "add": {"services": [{"name": "t"}]}},
                {"config_version": 9, "add": {"routes": [route]}},
            )
        )

        async def status_or_timeout(order):
            try:
                async with asyncio.timeout(0.85):
                    return (await self.service.submit(order)).status
            except TimeoutError:
                return "no answer"

        async def run_orders():
            self.replication.copies_missing = True
            answers = [await status_or_timeout(order) for order in (removal, return_, use)]
            assert (answers, len(self.replication.undecided)) == (["no answer"] * 3, 1)
            self.replication.copies_missing = False
            self.replication.decide()
            answer, accepted = await status_or_timeout(use), self.state.is_accepted(use)
            return answer, accepted, await status_or_timeout(return_), await status_or_timeout(use)

        # If all three had been proposed, `use` would be rejected after the first one and take effect later.
        assert virtual_loop.run(run_orders()) == (400, False, 200, 200)

    def test_an_order_whose_call_ended_while_it_was_undecided_is_acknowledged_when_sent_again(self):
        order = replace(5, 0)

        async def run_orders():
            self.replication.copies_missing = True
            first = asyncio.ensure_future(self.service.submit(order))
            await asyncio.sleep(0.1)
            first.cancel()
            again = asyncio.ensure_future(self.service.submit(order))
            other = asyncio.ensure_future(self.service.submit(replace(5, 0, "/x/")))
            await asyncio.sleep(0.1)
            assert not (again.done())
            assert not (other.done())
            self.replication.copies_missing = False
            self.replication.decide()
            return [(await call).status for call in (again, other)]

        assert virtual_loop.run(run_orders()) == [200, 412]
        assert self.replication.index == 1

    def test_invalid_configuration_is_rejected_and_not_proposed(self):
        body = configuration(5)
        body["routes"][0]["service"] = "unknown"
        assert self.submit(OperatorOrder("replace", 0, json.dumps(body).encode())) == [400]
        assert self.replication.index == 0

    def test_read_returns_the_complete_configuration_and_nothing_while_the_primary_is_unconfirmed(self):
        assert asyncio.run(self.service.read()).status == 404
        self.submit(replace(5, 0))
        assert configuration(5) == json.loads(asyncio.run(self.service.read()).body)
        self.replication.deposed = True
        assert asyncio.run(self.service.read()).status == 503


class ScriptedMember:
    id = "me"
    is_primary = True
    last_index = 3
    committed_index = 2


class WaitUntilDecidedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.member = ScriptedMember()
        self.log = ReplicatedLog(self.member, ConfigurationState(), None, lambda: None)

    def wait_until_decided_after(self, **changes):
        async def run_orders():
            waiting = asyncio.ensure_future(self.log.wait_until_decided())
            await asyncio.sleep(0.5)
            assert not waiting.done()
            for name, value in changes.items():
                setattr(self.member, name, value)
            await waiting

        virtual_loop.run(run_orders())

    def test_it_waits_until_the_last_record_of_this_primary_is_committed(self):
        self.wait_until_decided_after(committed_index=3)

    def test_waiting_fails_once_the_process_is_no_longer_primary(self):
        with pytest.raises(ReplicationUnavailableError):
            self.wait_until_decided_after(is_primary=False)


class ConfigurationStateTest(testtools.TestCase):
    def test_restored_state_knows_the_configuration_and_the_accepted_orders(self):
        state, other = ConfigurationState(), ConfigurationState()
        order = replace(5, 0)
        state.apply(3, order.encode())
        other.restore(state.snapshot())
        assert other.version == 5
        assert other.record_index == 3
        assert other.is_accepted(order)

    def test_oldest_accepted_orders_are_forgotten_first_also_after_a_restore(self):
        self.patch(state_module, "MAX_REMEMBERED_ORDERS", 3)
        orders = [replace(version, version - 1) for version in range(1, 7)]
        kept, restored = ConfigurationState(), ConfigurationState()
        for index, order in enumerate(orders[:4]):
            kept.apply(index + 1, order.encode())
        restored.restore(kept.snapshot())
        for state in (kept, restored):
            for index, order in enumerate(orders[4:]):
                state.apply(index + 5, order.encode())
            assert [state.is_accepted(order) for order in orders] == [False] * 3 + [True] * 3
        assert kept.snapshot() == restored.snapshot()

    def test_order_is_identified_by_its_bytes_and_not_by_its_meaning(self):
        state = ConfigurationState()
        state.apply(1, replace(5, 0).encode())
        for body in (json.dumps(configuration(5), indent=1), json.dumps(configuration(5), sort_keys=True)):
            assert not state.is_accepted(OperatorOrder("replace", 0, body.encode()))
        assert not state.is_accepted(OperatorOrder("change", 0, replace(5, 0).body))
        assert not state.is_accepted(OperatorOrder("replace", 4, replace(5, 0).body))

    def test_an_empty_state_is_restored_as_empty(self):
        state = ConfigurationState()
        state.restore(ConfigurationState().snapshot())
        assert state.current is None

    def test_record_that_no_longer_applies_has_no_effect(self):
        state = ConfigurationState()
        state.apply(1, replace(5, 0).encode())
        state.apply(2, replace(9, 3).encode())
        assert (state.version, state.record_index) == (5, 1)
