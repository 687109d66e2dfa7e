"""Tests run the module alone, from any folder."""

import sys
from pathlib import Path

from hypothesis import settings

sys.path.insert(0, str(Path(__file__).parent))
pytest_plugins = ["known_red"]
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=12)
settings.load_profile("fixed")
