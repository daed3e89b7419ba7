"""Guard against questionnaire faults that are missed and comparisons that cannot be applied."""

import hashlib
import pathlib

import msgspec
import pytest
from hypothesis import given

from marjorambridge.configuration.commands import ApplyConfiguration
from marjorambridge.configuration.comparison import describe_differences, list_changes
from marjorambridge.configuration.exceptions import QuestionnaireError
from marjorambridge.configuration.models import Configuration, Urgency
from marjorambridge.configuration.questionnaire import generate_configuration, parse_questionnaire
from marjorambridge.configuration.state import AnswerStatus, ControlState
from marjorambridge.configuration.state_machine import apply_changes
from tests.configuration.helpers import apply_command, hash_key, make_command, make_configurations

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"


def load_example(name):
    questionnaire = parse_questionnaire((EXAMPLES / name).read_bytes())
    references = [key.reference for item in questionnaire.workspaces for key in item.keys]
    return questionnaire, {name: hash_key(name) for name in references}


@pytest.mark.parametrize("name", ["ochre-association.json", "brass-works.json"])
def test_the_configuration_of_an_example_is_applied_by_one_command(name):
    questionnaire, hashes = load_example(name)
    wanted = generate_configuration(questionnaire, key_hashes=hashes)
    assert (len(wanted.zones), len(wanted.services), len(wanted.workspaces)) == (3, 2, 10)
    state = ControlState()
    change = ApplyConfiguration(tuple(list_changes(Configuration(), wanted)))
    assert apply_command(state, make_command(1, change, base=0)).status is AnswerStatus.ACCEPTED
    assert list_changes(state.configuration, wanted) == []
    assert describe_differences(state.configuration, wanted) == []


def test_generating_again_keeps_a_zone_out_of_service():
    questionnaire, hashes = load_example("brass-works.json")
    present = generate_configuration(questionnaire, key_hashes=hashes)
    present.zones["buero"].out = True
    again = generate_configuration(questionnaire, present, hashes)
    assert list_changes(present, again) == []


def test_all_type_faults_and_unknown_names_are_listed_at_once():
    document = {
        "availability_zone": [],
        "services": [{"name": "s", "kind": "engine", "availability_zones": ["bhuj"], "buckts": 2}],
        "workspaces": [{"name": 5, "services": "s", "keys": [{"plain": "secret"}]}],
        "urgencies": {"services": {"s": "hihg"}},
    }
    with pytest.raises(QuestionnaireError) as caught:
        parse_questionnaire(msgspec.json.encode(document))
    remedies = {
        fault.path.removeprefix("questionnaire."): fault.remedy for fault in caught.value.faults
    }
    assert remedies == {
        "availability_zone": "use 'availability_zones', or remove it",
        "availability_zones": "add it",
        "services[0].buckts": "use 'buckets', or remove it",
        "workspaces[0].name": "give a value of the expected type",
        "workspaces[0].services": "give a value of the expected type",
        "workspaces[0].keys[0].plain": "remove it",
        "urgencies.services.s": "use 'high', or use one of low, normal, high",
    }


def test_all_semantic_faults_are_listed_without_the_text_of_a_plain_key():
    zone = {"name": "bhuj", "region": "kutch"}
    service = {"name": "geru", "kind": "engine", "availability_zones": ["bhuij"]}
    digest = hashlib.sha256(b"k").hexdigest().upper()
    keys = [{"sha256": "secret"}, {}, {"reference": "lot"}, {"sha256": digest}]
    document = {
        "availability_zones": [zone, zone],
        "services": [service],
        "workspaces": [{"name": "lots", "services": ["gerru"], "keys": keys}],
        "urgencies": {"services": {"geruu": "high"}, "workspaces": {"lots": "low"}},
    }
    questionnaire = parse_questionnaire(msgspec.json.encode(document))
    with pytest.raises(QuestionnaireError) as caught:
        generate_configuration(questionnaire, key_hashes={"lots": hash_key("lots")})
    remedies = {fault.path: fault.remedy for fault in caught.value.faults}
    assert remedies == {
        "availability_zones.bhuj": "rename or remove one of them",
        "urgencies.services.geruu": "use 'geru', or add it to services",
        "workspaces.lots.keys[0]": "give the digest of the key, never the key itself",
        "workspaces.lots.keys[1]": "give either 'sha256' or 'reference'",
        "workspaces.lots.keys[2]": "use 'lots', or make the key available under it",
        "services.geru.zones": "use 'bhuj', or add availability zone 'bhuij' first",
        "workspaces.lots.services": "use 'geru', or add service 'gerru' first",
    }
    assert "secret" not in str(caught.value)


def test_malformed_json_is_a_typed_error():
    for data in (b"", b"{", b"[1]", b"\xff"):
        with pytest.raises(QuestionnaireError):
            parse_questionnaire(data)


def test_differences_are_described_in_plain_text_without_whole_key_hashes():
    questionnaire, hashes = load_example("ochre-association.json")
    old = generate_configuration(questionnaire, key_hashes=hashes)
    new = generate_configuration(questionnaire, key_hashes=hashes)
    new.services["geru-model"].urgency = Urgency.HIGH
    new.services["geru-model"].zones = ("anjar", "bhuj")
    new.workspaces["payments"].key_hashes = (hash_key("new"),)
    del new.workspaces["pit-anjar"]
    assert describe_differences(old, new) == [
        "service geru-model: zones -mandvi",
        "service geru-model: urgency normal -> high",
        f"workspace payments: key_hashes +{hash_key('new')[:8]}... "
        f"-{hash_key('kutch/payments')[:8]}...",
        "workspace pit-anjar: deleted",
    ]


@given(make_configurations(), make_configurations())
def test_every_prefix_of_the_changes_between_two_configurations_is_valid(old, new):
    """Names and keys move between items, so a fixed order of the kinds of changes is not enough."""
    present = old
    for change in list_changes(old, new):
        present, faults = apply_changes(present, (change,))
        assert faults == []
    assert present == new
