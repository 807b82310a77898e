"""Builds the libraries and packages of a deployment under target/."""

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
    """Install the libraries unless they are up to date."""
    requirements = REQUIREMENTS.read_text()
    if STAMP.exists() and STAMP.read_text() == requirements:
        return
    shutil.rmtree(LIBRARIES, ignore_errors=True)
    LIBRARIES.mkdir(parents=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--target"]
    subprocess.run(
        [*command, str(LIBRARIES), "-r", str(REQUIREMENTS)], check=True
    )
    STAMP.write_text(requirements)


def copy_workspace() -> None:
    """Copy the packages of this repository beside the libraries."""
    target = LIBRARIES / "fireflypulley"
    shutil.rmtree(target, ignore_errors=True)
    for source in sorted(ROOT.glob("packages/*/src/fireflypulley")):
        shutil.copytree(
            source,
            target,
            dirs_exist_ok=True,
            ignore=shutil.ignore_patterns("__pycache__"),
        )


def main() -> int:
    """Build the target; return the exit code."""
    install_libraries()
    copy_workspace()
    compiled = compileall.compile_dir(LIBRARIES, quiet=1)
    compiled = compileall.compile_dir(ROOT / "platform", quiet=1) and compiled
    return 0 if compiled else 1


if __name__ == "__main__":
    sys.exit(main())
