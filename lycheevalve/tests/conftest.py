"""Hypothesis profiles: deterministic examples for CI, random ones for fuzzing."""

import os

from hypothesis import HealthCheck, Phase, settings

COMMON = {
    "deadline": None,
    "suppress_health_check": list(HealthCheck),
    # Shrinking a failed run of a whole site takes longer than reading its example.
    "phases": (Phase.explicit, Phase.generate),
}
settings.register_profile("ci", derandomize=True, database=None, max_examples=60, **COMMON)
settings.register_profile("fuzz", database=None, max_examples=300, print_blob=True, **COMMON)
settings.load_profile(os.environ.get("LYCHEEVALVE_PROFILE", "ci"))
