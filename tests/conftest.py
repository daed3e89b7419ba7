"""Make every run of the suite use the same examples."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("fixed")
