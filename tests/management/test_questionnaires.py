"""Guard against questionnaires that end in an untyped error or an invalid configuration."""

import json
import pathlib

from hypothesis import given
from hypothesis import strategies as st

from marjorambridge.configuration.exceptions import QuestionnaireError
from marjorambridge.configuration.questionnaire import generate_configuration, parse_questionnaire
from marjorambridge.configuration.validation import find_faults
from marjorambridge.management.exceptions import InvalidError
from marjorambridge.management.questionnaires import parse_key_hashes

EXAMPLES = pathlib.Path(__file__).parents[2] / "docs" / "examples"
DOCUMENTS = [
    json.loads((EXAMPLES / name).read_text())
    for name in ("first-run.json", "ochre-association.json")
]
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=4,
)


def list_paths(value, path=()):
    """Return the paths of all values inside a document."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    paths = []
    for key, item in items:
        paths.append((*path, key))
        if isinstance(item, dict | list):
            paths += list_paths(item, (*path, key))
    return paths


@st.composite
def make_documents(draw):
    """Return an example in which some values are replaced, removed or doubled."""
    document = json.loads(json.dumps(draw(st.sampled_from(DOCUMENTS))))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list_paths(document) or [()]))
        if not path:
            break
        parent = document
        for key in path[:-1]:
            parent = parent[key]
        action = draw(st.sampled_from(("replace", "remove", "double")))
        if action == "replace":
            parent[path[-1]] = draw(VALUES)
        elif action == "remove":
            del parent[path[-1]]
        elif isinstance(parent, list):
            parent.append(parent[path[-1]])
        else:
            parent[f"{path[-1]}x"] = parent[path[-1]]
    return document


@given(document=make_documents() | VALUES, hashed=st.booleans())
def test_any_document_gives_a_typed_error_or_a_valid_configuration(document, hashed):
    hashes = {f"{name}": f"{number:064x}" for number, name in enumerate(["bhuj-pits"])}
    try:
        questionnaire = parse_questionnaire(json.dumps(document).encode())
        configuration = generate_configuration(questionnaire, None, hashes if hashed else {})
    except QuestionnaireError as error:
        assert error.faults
        assert all(fault.problem and fault.remedy for fault in error.faults)
    else:
        assert find_faults(configuration) == []


@given(data=st.binary(max_size=60))
def test_any_bytes_give_a_typed_error(data):
    try:
        parse_questionnaire(data)
    except QuestionnaireError as error:
        assert error.faults


@given(text=st.text(max_size=60) | VALUES.map(json.dumps))
def test_any_file_of_digests_gives_a_typed_error_or_digests(text):
    try:
        assert all(len(value) == 64 for value in parse_key_hashes(text).values())
    except InvalidError as error:
        assert "--keys" in str(error)
