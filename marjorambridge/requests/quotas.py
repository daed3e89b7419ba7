"""Limit the rate and the number of requests of each workspace on this host."""

from marjorambridge.configuration.models import Workspace
from marjorambridge.requests.state import RequestsState, WorkspaceUsage


def acquire_quota(state: RequestsState, workspace: Workspace, now: float) -> float | None:
    """Count one request of a workspace, or return the seconds after which to retry."""
    rate = workspace.requests_per_second
    burst = max(1.0, rate * state.settings.rate_burst)
    usage = state.usage.get(workspace.name)
    if usage is None:
        usage = state.usage[workspace.name] = WorkspaceUsage(burst, now)
    usage.tokens = min(burst, usage.tokens + (now - usage.at) * rate)
    usage.at = now
    if workspace.concurrent_requests and usage.running >= workspace.concurrent_requests:
        return state.settings.refusal_retry_after
    if rate > 0.0:
        if usage.tokens < 1.0:
            return (1.0 - usage.tokens) / rate
        usage.tokens -= 1.0
    usage.running += 1
    return None


def release_quota(state: RequestsState, workspace: str) -> None:
    """Count the end of an admitted request."""
    state.usage[workspace].running -= 1


def forget_workspaces(state: RequestsState, names: set[str]) -> None:
    """Drop the counts of workspaces that no longer exist and have no request in progress."""
    for name, usage in list(state.usage.items()):
        if name not in names and usage.running == 0:
            del state.usage[name]
