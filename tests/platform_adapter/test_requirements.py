"""Checks that the deployed libraries have the tested versions."""

import pathlib

ROOT = pathlib.Path(__file__).parent.parent.parent


def _versions(path):
    versions = {}
    for line in path.read_text().splitlines():
        if "==" in line:
            name, version = line.split("==")
            versions[name.partition("[")[0]] = version
    return versions


def test_deployed_libraries_are_the_tested_ones():
    deployed = _versions(ROOT / "deploy" / "requirements.txt")
    tested = _versions(ROOT / "requirements.txt")
    assert deployed.items() <= tested.items()
