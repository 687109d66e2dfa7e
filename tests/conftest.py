"""Settings of all tests: fixed hypothesis examples, and the tests that are known to fail."""

from hypothesis import settings

pytest_plugins = ["tests.support.known_red"]
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=12)
settings.load_profile("fixed")
