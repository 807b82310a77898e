"""Tests of the folder platform/, which only translates."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent.parent.parent / "platform"
sys.path.insert(0, str(FOLDER))
