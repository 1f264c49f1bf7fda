"""Generate the protobuf modules from ``proto/`` and the interop messages; ``--check`` only compares them."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).parent.parent
PROTO_SETS = (
    (ROOT / "proto", ROOT, sorted(str(path.relative_to(ROOT / "proto")) for path in (ROOT / "proto").rglob("*.proto"))),
    (ROOT / "tests" / "interop", ROOT / "tests" / "interop" / "pb", ["testing.proto"]),
)


def generate(source: Path, target: Path, names: list[str]) -> None:
    status = protoc.main(["protoc", f"-I{source}", f"--python_out={target}", f"--pyi_out={target}", *names])
    if status:
        raise SystemExit(f"protoc failed on {', '.join(names)}")


def main() -> int:
    if "--check" not in sys.argv:
        for source, target, names in PROTO_SETS:
            generate(source, target, names)
        return 0
    stale = []
    for source, target, names in PROTO_SETS:
        with tempfile.TemporaryDirectory() as folder:
            generate(source, Path(folder), names)
            for generated in sorted(Path(folder).rglob("*_pb2.py*")):
                committed = target / generated.relative_to(folder)
                if not committed.exists() or committed.read_bytes() != generated.read_bytes():
                    stale.append(str(committed.relative_to(ROOT)))
    for name in stale:
        print(f"{name}: differs from the .proto files; run make proto")
    return bool(stale)


if __name__ == "__main__":
    sys.exit(main())
