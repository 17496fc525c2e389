"""Settings of all tests: the same verdict on every run, fresh seeds for fuzzing."""

import os

from hypothesis import HealthCheck, Phase, settings

COMMON = {
    "deadline": None,
    "suppress_health_check": list(HealthCheck),
    # Shrinking a run of a whole site takes longer than reading it.
    "phases": (Phase.explicit, Phase.generate),
}
settings.register_profile("ci", derandomize=True, database=None, max_examples=60, **COMMON)
settings.register_profile("fuzz", database=None, max_examples=300, print_blob=True, **COMMON)
settings.load_profile(os.environ.get("LYCHEEVALVE_PROFILE", "ci"))
