"""Guard hosts against a configuration that is stored in a form which only a later build reads."""

import json

import pytest

from marjorambridge.manifests.exceptions import InvalidManifestError
from marjorambridge.platform.documents import compress_document, decode_stored_document
from tests.compatibility import samples

DOCUMENT = bytes.fromhex(samples.write_samples()["document"]["bytes"]["json"])
STORED = compress_document(DOCUMENT)


@pytest.mark.parametrize(
    "stored",
    [
        DOCUMENT,
        b"\x28\xb5\x2f\xfd later compression",
        STORED[:-5],
        STORED[:-5] + bytes(5),
        b"",
        compress_document(b"{}"),
        compress_document(b"\xff"),
    ],
)
def test_an_unreadable_configuration_is_a_typed_error(stored):
    """The error of the decompression would end the process of each gateway."""
    with pytest.raises(InvalidManifestError):
        decode_stored_document(stored)


def test_unknown_fields_of_a_configuration_are_ignored():
    """A host would keep an old configuration after a later build has accepted a new one."""
    values = json.loads(DOCUMENT)
    for part in (values, values["routes"][0], values["services"][0], values["tenants"][0]):
        part["later"] = {"a": [1]}
    stored = compress_document(json.dumps(values).encode())
    assert decode_stored_document(stored) == decode_stored_document(STORED)
