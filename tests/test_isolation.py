"""A control process knows when it is cut off from the majority."""

import testtools

from larchgw.control.isolation import HEARD_WITHIN_S, Isolation


class IsolationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.answered = {}
        self.electorate = {"b", "c"}
        self.isolation = Isolation(self.answered.get, lambda: self.electorate, lambda: self.now)
        self.now += 2 * HEARD_WITHIN_S

    def test_one_of_three_alone_is_isolated(self):
        self.assertTrue(self.isolation.isolated())

    def test_two_of_three_are_not(self):
        self.answered["b"] = self.now
        self.assertFalse(self.isolation.isolated())

    def test_two_of_four_are_isolated(self):
        self.electorate = {"b", "c", "d"}
        self.answered["b"] = self.now
        self.assertTrue(self.isolation.isolated())

    def test_an_answer_long_ago_does_not_count(self):
        self.answered["b"] = self.now - HEARD_WITHIN_S - 0.01
        self.assertTrue(self.isolation.isolated())

    def test_a_start_is_given_time_to_reach_the_others(self):
        fresh = Isolation(self.answered.get, lambda: self.electorate, lambda: self.now)
        self.assertFalse(fresh.isolated())

    def test_one_that_is_alone_by_configuration_is_not_isolated(self):
        self.electorate = set()
        self.assertFalse(self.isolation.isolated())
