"""Builds what a deployment runs under target/: libraries and workspace."""

import compileall
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
LIBRARIES = ROOT / "target" / "deps"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
STAMP = LIBRARIES / ".requirements"


def install_libraries() -> None:
    """Install the libraries unless they are there already."""
    wanted = REQUIREMENTS.read_text()
    if STAMP.exists() and STAMP.read_text() == wanted:
        return
    shutil.rmtree(LIBRARIES, ignore_errors=True)
    LIBRARIES.mkdir(parents=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--target"]
    subprocess.run(
        [*command, str(LIBRARIES), "-r", str(REQUIREMENTS)], check=True
    )
    STAMP.write_text(wanted)


def copy_workspace() -> None:
    """Copy the workspace's packages beside the libraries."""
    goal = LIBRARIES / "fireflypulley"
    shutil.rmtree(goal, ignore_errors=True)
    for source in sorted(ROOT.glob("packages/*/src/fireflypulley")):
        shutil.copytree(
            source,
            goal,
            dirs_exist_ok=True,
            ignore=shutil.ignore_patterns("__pycache__"),
        )


def main() -> int:
    """Build; return the exit code."""
    install_libraries()
    copy_workspace()
    done = compileall.compile_dir(LIBRARIES, quiet=1)
    done = compileall.compile_dir(ROOT / "platform", quiet=1) and done
    return 0 if done else 1


if __name__ == "__main__":
    sys.exit(main())
