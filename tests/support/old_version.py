"""The source of an earlier version, from the repository's own history."""

from __future__ import annotations

import io
import subprocess
import tarfile
from pathlib import Path

import pytest

from tests.support.stand_ins import ROOT

OLD_COMMIT = "0d35ed74fd7024df7c0cc227f3f508d76c70a756"  # the last one before modules were renamed


def extract_old_version(folder: Path) -> Path:
    """Writes the package as of OLD_COMMIT into the folder; skips the test where the history lacks it."""
    archived = subprocess.run(
        ["git", "archive", "--format=tar", OLD_COMMIT, "larchgw"], cwd=ROOT, capture_output=True
    )
    if archived.returncode != 0:
        reason = archived.stderr.decode(errors="replace").strip()
        pytest.skip(f"commit {OLD_COMMIT} is not in this checkout's history: {reason}")
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as source:
        source.extractall(folder, filter="data")
    return folder
