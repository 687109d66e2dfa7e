"""A committed configuration is published once, only when known to be the newest, and compressed."""

import json
import random

import testtools

from larchgw.configuration.packing import pack, unpack
from larchgw.control.configuration_state import ConfigurationState
from larchgw.control.operator_order import OperatorOrder
from larchgw.control.publication import BACKUP_PUBLISH_DELAY_S, ConfigurationPublisher
from larchgw.distribution.keys import CONFIGURATION_KEY
from larchgw.distribution.registry import Registry
from tests.support.configurations import body, example


class PublisherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.is_primary = False
        self.state, self.registry = ConfigurationState(), Registry("a.1")
        self.publisher = ConfigurationPublisher(self.state, self.registry, lambda: self.is_primary)

    def commit(self, index, version, now):
        self.state.apply(index, OperatorOrder("replace", -1, body(example(config_version=version))).encode())
        self.publisher.on_committed(now)

    def published(self):
        entry = self.registry.get(CONFIGURATION_KEY)
        return entry.major if entry is not None else None

    def test_the_primary_publishes_at_once(self):
        self.is_primary = True
        self.commit(3, 7, now=1.0)
        assert self.published() == 3

    def test_backup_publishes_after_a_delay_what_the_primary_has_not_published(self):
        self.commit(3, 7, now=1.0)
        self.publisher.tick(1.0 + BACKUP_PUBLISH_DELAY_S - 0.01)
        assert self.published() is None
        self.publisher.tick(1.0 + BACKUP_PUBLISH_DELAY_S)
        assert self.published() == 3

    def test_configuration_found_on_the_disk_at_start_is_published_by_the_primary_only(self):
        """It is as old as the last snapshot, and edges without a configuration may start at the same time."""
        self.commit(3, 7, now=1.0)
        self.publisher.on_restored()
        for tenth in range(100):
            self.publisher.tick(1.0 + tenth / 10.0)
        assert self.published() is None
        self.is_primary = True
        self.publisher.tick(12.0)
        assert self.published() == 3

    def test_older_configuration_does_not_replace_one_that_another_process_has_published(self):
        self.registry.put(CONFIGURATION_KEY, b"newer", 9)
        self.is_primary = True
        self.commit(3, 7, now=1.0)
        assert self.published() == 9

    def test_a_primary_without_a_configuration_publishes_nothing(self):
        self.is_primary = True
        self.publisher.tick(1.0)
        assert self.published() is None


class PackingTest(testtools.TestCase):
    def test_packed_configuration_is_unpacked_unchanged(self):
        routes = [{"name": f"r{n}", "path_start": f"/p{n}/"} for n in range(300)]
        raw = {"config_version": 3, "routes": routes}
        assert raw == json.loads(unpack(pack(raw)))

    def test_many_similar_routes_are_packed_to_less_than_a_fifth_of_their_size(self):
        random_source = random.Random(7)
        routes = [
            {
                "name": f"r-{random_source.getrandbits(32):x}",
                "hostname": "h.example",
                "kind": "writing",
                "path_start": f"/{random_source.getrandbits(32):x}/",
                "deadline_ms": 1500,
                "service": "s",
            }
            for _ in range(400)
        ]
        raw = {"config_version": 3, "routes": routes}
        assert 5 * len(pack(raw)) < len(json.dumps(raw))
