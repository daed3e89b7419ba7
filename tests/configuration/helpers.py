"""Build configurations, commands and hypothesis strategies for the control state's tests."""

import hashlib

from hypothesis import strategies as st

from marjorambridge.configuration.codec import encode_entry
from marjorambridge.configuration.commands import (
    ApplyConfiguration,
    OperatorCommand,
    PutService,
    PutWorkspace,
    PutZone,
)
from marjorambridge.configuration.models import (
    AvailabilityZone,
    Configuration,
    Service,
    ServiceKind,
    Urgency,
    Workspace,
)
from marjorambridge.configuration.state_machine import apply_entry


def hash_key(key):
    return hashlib.sha256(key.encode()).hexdigest()


def make_command(number, change, base=None, wall=None, operator="asha"):
    return OperatorCommand(
        f"command-{number}", operator, base, 1000.0 + number if wall is None else wall, change
    )


def apply_command(state, command):
    return apply_entry(state, state.index + 1, encode_entry(command)).answer


def make_example_change():
    return ApplyConfiguration(
        (
            PutZone("bhuj", "kutch"),
            PutZone("anjar", "kutch"),
            PutService(Service("geru", ServiceKind.ENGINE, ("bhuj", "anjar"), models=("geru-2",))),
            PutWorkspace(Workspace("lots", (hash_key("a"),), ("geru",))),
        )
    )


@st.composite
def make_configurations(draw):
    """Generate valid configurations from few names, so that names move between items."""
    names = st.sampled_from(["a", "b", "c", "d"])
    zones = draw(st.dictionaries(names, st.booleans(), min_size=1))
    result = Configuration()
    for name, out in zones.items():
        region = draw(st.sampled_from(["east", "west"]))
        result.zones[name] = AvailabilityZone(name, region, out)
    service_names = draw(st.sets(names, max_size=3))
    free = [name for name in "abcde" if name not in service_names]
    for name in sorted(service_names):
        models = draw(st.lists(st.sampled_from(free), unique=True)) if free else []
        free = [model for model in free if model not in models]
        used = draw(st.lists(st.sampled_from(sorted(zones)), min_size=1, unique=True))
        result.services[name] = Service(
            name,
            ServiceKind.ENGINE,
            tuple(used),
            draw(st.sampled_from(Urgency)),
            models=tuple(models),
        )
    keys = [hash_key(key) for key in "xyz"]
    for name in sorted(draw(st.sets(names, max_size=3))):
        own = draw(st.lists(st.sampled_from(keys), unique=True)) if keys else []
        keys = [key for key in keys if key not in own]
        used = []
        if service_names:
            used = draw(st.lists(st.sampled_from(sorted(service_names)), unique=True))
        result.workspaces[name] = Workspace(name, tuple(own), tuple(used))
    return result
