"""The operator's calls at the primary: nothing acknowledged twice, nothing taken refused."""

import asyncio
import json

import testtools

from larchgw.control.operator import OperatorService, ReplicationUnavailable
from larchgw.control.state import ConfigurationState, Order


def configuration(version, path="/a/"):
    route = {"name": "r", "hostname": "h.example", "path_start": path, "kind": "writing", "deadline_ms": 1000,
             "service": "s", "tries": 1}
    return {"config_version": version, "routes": [route], "services": [{"name": "s"}]}


def replace(version, built_on, path="/a/"):
    return Order("replace", built_on, json.dumps(configuration(version, path)).encode())


class ScriptedReplication:
    """Commits what is proposed, unless told that the primary role or the answer is lost."""

    def __init__(self, state):
        self.state = state
        self.index = 0
        self.deposed = False
        self.answer_lost = False
        self.before_confirm = lambda: None
        self.before_commit = lambda: None

    async def confirm(self):
        await asyncio.sleep(0)
        self.before_confirm()
        if self.deposed:
            raise ReplicationUnavailable("another is primary")

    async def propose(self, record):
        await asyncio.sleep(0)
        if self.deposed:
            raise ReplicationUnavailable("another is primary")
        self.before_commit()
        self.commit(record)
        if self.answer_lost:
            raise ReplicationUnavailable("the view has changed")
        return self.index

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

    def test_the_same_order_sent_again_is_acknowledged_again_and_taken_once(self):
        order = replace(5, 0)
        self.assertEqual([200], self.submit(order))
        self.assertEqual([200], self.submit(order))
        self.assertEqual(1, self.replication.index)

    def test_an_order_sent_again_after_later_ones_is_not_refused(self):
        first, second = replace(5, 0), replace(7, 5)
        self.submit(first)
        self.submit(second)
        self.assertEqual([200], self.submit(first))
        self.assertEqual(7, self.state.version)

    def test_of_two_changes_at_once_on_one_version_one_wins(self):
        self.submit(replace(5, 0))
        statuses = self.submit(replace(7, 5, "/x/"), replace(8, 5, "/y/"))
        self.assertEqual([200, 412], sorted(statuses))

    def test_two_different_changes_under_one_number_are_not_both_acknowledged(self):
        self.submit(replace(5, 0))
        statuses = self.submit(replace(7, 5, "/x/"), replace(7, 5, "/y/"))
        self.assertEqual([200, 412], sorted(statuses))

    def test_an_order_whose_answer_was_lost_is_acknowledged_when_sent_again(self):
        order = replace(5, 0)
        self.replication.answer_lost = True
        self.assertEqual([503], self.submit(order))
        self.replication.answer_lost = False
        self.assertEqual([200], self.submit(order))
        self.assertEqual(1, self.replication.index)

    def test_a_deposed_primary_gives_no_clear_answer_even_to_what_looks_stale(self):
        self.submit(replace(5, 0))
        self.replication.deposed = True
        self.assertEqual([503], self.submit(replace(6, 4)))

    def test_what_another_primary_took_meanwhile_is_acknowledged_and_not_refused(self):
        order = replace(5, 0)

        def taken_elsewhere():
            if not self.state.taken(order):
                self.replication.commit(order.encode())

        self.replication.before_confirm = taken_elsewhere
        self.assertEqual([200], self.submit(order))
        self.assertEqual(1, self.replication.index)

    def test_an_order_overtaken_between_proposal_and_commit_is_not_acknowledged(self):
        self.submit(replace(5, 0))
        self.replication.before_commit = lambda: self.replication.commit(replace(6, 5, "/z/").encode())
        self.assertEqual([412], self.submit(replace(7, 5, "/x/")))
        self.assertEqual(6, self.state.version)

    def test_an_invalid_configuration_is_refused_and_not_proposed(self):
        body = configuration(5)
        body["routes"][0]["service"] = "unknown"
        self.assertEqual([400], self.submit(Order("replace", 0, json.dumps(body).encode())))
        self.assertEqual(0, self.replication.index)

    def test_read_gives_the_whole_configuration_and_nothing_while_the_view_is_in_doubt(self):
        self.assertEqual(404, asyncio.run(self.service.read()).status)
        self.submit(replace(5, 0))
        self.assertEqual(configuration(5), json.loads(asyncio.run(self.service.read()).body))
        self.replication.deposed = True
        self.assertEqual(503, asyncio.run(self.service.read()).status)


class ConfigurationStateTest(testtools.TestCase):
    def test_a_restored_state_knows_the_configuration_and_what_was_taken(self):
        state, other = ConfigurationState(), ConfigurationState()
        order = replace(5, 0)
        state.apply(3, order.encode())
        other.restore(state.snapshot())
        self.assertEqual(5, other.version)
        self.assertEqual(3, other.index)
        self.assertTrue(other.taken(order))

    def test_an_empty_state_is_restored_as_empty(self):
        state = ConfigurationState()
        state.restore(ConfigurationState().snapshot())
        self.assertIsNone(state.current)

    def test_a_record_that_does_not_fit_is_without_effect(self):
        state = ConfigurationState()
        state.apply(1, replace(5, 0).encode())
        state.apply(2, replace(9, 3).encode())
        self.assertEqual((5, 1), (state.version, state.index))
