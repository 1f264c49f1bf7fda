"""Limits on the decision module, the README's example, and the build and run commands of the deployment."""

from __future__ import annotations

import ast
import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = ROOT / "sprucepost" / "scheduler.py"
LONGEST_FUNCTION_LINES = 34


def test_functions_of_the_decision_module_are_short() -> None:
    source = MODULE.read_text(encoding="utf-8")
    functions = [
        node for node in ast.walk(ast.parse(source)) if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef))
    ]
    assert max((node.end_lineno or node.lineno) - node.lineno + 1 for node in functions) <= LONGEST_FUNCTION_LINES
    assert max(map(len, source.splitlines())) <= 110
    assert "sprucepost/interface.py" in (ast.get_docstring(ast.parse(MODULE.read_text(encoding="utf-8"))) or "")


def test_library_imports_only_the_standard_library_and_no_wall_clock() -> None:
    for path in (ROOT / "sprucepost").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            for name in names:
                top = name.split(".")[0]
                assert top == "sprucepost" or top in sys.stdlib_module_names
                assert top not in ("time", "datetime")


def test_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(encoding="utf-8"), re.DOTALL)
    scope: dict[str, object] = {}
    exec(blocks[0], scope)
    assert "Offer" in [type(action).__name__ for action in scope["actions"]]  # type: ignore[attr-defined]


def test_benchmarks_and_tools_can_be_imported() -> None:
    """Benchmarks and tools are run by hand, so that nothing else would report an import of a moved module."""
    import importlib

    names = [
        f"{folder}.{path.stem}" for folder in ("benchmarks", "tools") for path in sorted((ROOT / folder).glob("*.py"))
    ]
    assert len(names) > 8
    for name in names:
        importlib.import_module(name)


def deploy_value(name: str) -> str:
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))[name])


def test_build_repairs_an_incomplete_environment(tmp_path: Path) -> None:
    for name in ("sprucepost", "requirements.txt"):
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, tmp_path / name)
    broken = tmp_path / ".venv" / "bin"
    broken.mkdir(parents=True)
    (broken / "python").symlink_to(tmp_path / "nowhere")
    site = tmp_path / ".venv" / "lib" / f"python{sys.version_info[0]}.{sys.version_info[1]}" / "site-packages" / "h11"
    site.mkdir(parents=True)
    (site / "__init__.py").write_text("raise ImportError('cut off')\n")
    shutil.copy(ROOT / "requirements.txt", tmp_path / ".venv" / "built")  # the stamp marks the environment as complete
    subprocess.run(["/bin/sh", "-c", deploy_value("build")], cwd=tmp_path, check=True, capture_output=True)
    done = subprocess.run(
        ["/bin/sh", "-c", deploy_value("run")], cwd=tmp_path, env={"PATH": "/usr/bin:/bin"}, capture_output=True, text=True,
        check=False,
    )  # fmt: skip
    assert (done.returncode, done.stderr.count("\n")) == (2, 1) and done.stderr.startswith("sprucepost: "), done.stderr


def test_run_command_replaces_the_shell_by_exec() -> None:
    ignore, run = deploy_value("run").split("; ")  # the shell ignores SIGHUP before exec replaces it
    assert ignore == "trap '' HUP"
    assert run.split()[0] == "exec" and not set(run) & set("|&;()`$<>")
