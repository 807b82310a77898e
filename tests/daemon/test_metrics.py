"""The generated metrics page matches the code."""

import importlib.util
import pathlib

ROOT = pathlib.Path(__file__).parents[2]


def test_page_is_up_to_date():
    path = ROOT / "scripts/metrics_page.py"
    spec = importlib.util.spec_from_file_location("metrics_page", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    assert module.PAGE.read_text() == module.page()
