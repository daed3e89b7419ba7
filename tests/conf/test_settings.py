"""Check that every fault of a settings file is listed with its remedy before the start."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.loading import load_settings, parse_settings


def make_raw(**changes) -> dict:
    raw = {
        "fleet": "sangh",
        "host": "entry-1",
        "zone": "bhuj",
        "region": "kutch",
        "addresses": {
            "peer": "127.0.0.1:7001",
            "callers": "127.0.0.1:7002",
            "admin": "127.0.0.1:7003",
        },
        "replicas": [{"host": "entry-1", "address": "127.0.0.1:7001"}],
        "fleet_key_file": "fleet.key",
        "data_folder": "data",
    }
    raw.update(changes)
    return raw


def parse(**changes):
    return parse_settings(msgspec.json.encode(make_raw(**changes)))


def test_complete_settings_are_accepted_with_defaults():
    settings = parse()
    assert settings.claims.groups == 1
    assert settings.replicas[0].host == "entry-1"


def test_an_unknown_key_is_refused_with_the_nearest_known_one():
    with pytest.raises(SettingsError, match=r"log\.levl; did you mean log\.level\?"):
        parse(log={"levl": "INFO"})
    with pytest.raises(SettingsError, match=r"replicas\[0\]\.adress"):
        parse(replicas=[{"host": "a", "adress": "127.0.0.1:1"}])


def test_all_faults_are_listed_at_once():
    with pytest.raises(SettingsError) as caught:
        parse(zone="Bhuj!", replicas=[], bootstrap=True, operator_token_hashes=["abc"])
    text = str(caught.value)
    for part in ("zone 'Bhuj!'", "0 hosts", "bootstrap", "64 hexadecimal"):
        assert part in text


def test_a_replica_without_a_data_folder_is_refused():
    with pytest.raises(SettingsError, match="needs data_folder"):
        parse(data_folder="")


def test_a_host_name_in_place_of_an_ip_address_is_refused():
    addresses = make_raw()["addresses"] | {"peer": "localhost:7001"}
    with pytest.raises(SettingsError, match="use an IP address"):
        parse(addresses=addresses)


def test_a_missing_file_names_the_option(tmp_path):
    with pytest.raises(SettingsError, match="check --settings"):
        load_settings(tmp_path / "missing.json")


@given(data=st.one_of(st.binary(max_size=200), st.text(max_size=200).map(str.encode)))
def test_arbitrary_bytes_raise_only_a_typed_error(data):
    with pytest.raises(SettingsError):
        parse_settings(data)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=5,
)


@given(key=st.sampled_from(sorted(make_raw())), value=JSON_VALUES)
def test_any_json_value_gives_settings_or_a_typed_error(key, value):
    try:
        assert parse(**{key: value}).fleet is not None
    except SettingsError as error:
        assert error.faults
