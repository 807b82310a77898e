"""Hypothesis profile shared by all tests."""

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    max_examples=200,
    deadline=None,
    derandomize=True,
    print_blob=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile("ci")
