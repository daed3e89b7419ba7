"""Make every run of the suite use the same examples."""

import importlib
import pkgutil

from hypothesis import HealthCheck, settings

import marjorambridge

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("fixed")


def import_modules() -> None:
    """Import all modules of the project.

    Hypothesis draws constants from the modules that are loaded, so that the examples of a test
    would depend on the tests that were collected with it.
    """
    for module in pkgutil.walk_packages(marjorambridge.__path__, "marjorambridge."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


import_modules()
