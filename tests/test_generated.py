"""The committed protobuf modules match the definitions in ``proto/``."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_generated_code_is_up_to_date() -> None:
    completed = subprocess.run([sys.executable, "tools/proto.py", "--check"], cwd=ROOT, capture_output=True, text=True)
    assert completed.returncode == 0, completed.stdout + completed.stderr
