"""A committed configuration goes out once, and smaller than it is."""

import json
import random

import testtools

from larchgw.configuration.packing import pack, unpack


class PackingTest(testtools.TestCase):
    def test_what_is_packed_comes_back_whole(self):
        routes = [{"name": f"r{n}", "path_start": f"/p{n}/"} for n in range(300)]
        raw = {"config_version": 3, "routes": routes}
        self.assertEqual(raw, json.loads(unpack(pack(raw))))

    def test_many_alike_routes_take_less_than_a_fifth_of_their_size(self):
        dice = random.Random(7)
        routes = [{"name": f"r-{dice.getrandbits(32):x}", "hostname": "h.example", "kind": "writing",
                   "path_start": f"/{dice.getrandbits(32):x}/", "deadline_ms": 1500, "service": "s"}
                  for _ in range(400)]
        raw = {"config_version": 3, "routes": routes}
        self.assertLess(5 * len(pack(raw)), len(json.dumps(raw)))
