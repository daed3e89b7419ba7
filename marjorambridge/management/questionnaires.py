"""Read filled-in questionnaires and the digests of the keys that they reference."""

from pathlib import Path

import msgspec

from marjorambridge.configuration.exceptions import QuestionnaireError
from marjorambridge.configuration.models import Configuration
from marjorambridge.configuration.questionnaire import generate_configuration, parse_questionnaire
from marjorambridge.configuration.validation import KEY_HASH
from marjorambridge.management.exceptions import InvalidError
from marjorambridge.management.options import read_text


def read_configuration(
    path: Path, keys: Path | None, present: Configuration | None = None
) -> Configuration:
    """Return the configuration that a questionnaire describes.

    Raises
    ------
    InvalidError
        With every fault of the questionnaire, or of the file with key digests.
    UsageError
        If a file can't be read.
    """
    hashes = parse_key_hashes(read_text(keys, "--keys")) if keys else {}
    data = read_text(path, "the name of the questionnaire").encode()
    try:
        return generate_configuration(parse_questionnaire(data), present, hashes)
    except QuestionnaireError as error:
        faults = [f"{fault.path}: {fault.problem}; {fault.remedy}" for fault in error.faults]
        raise InvalidError("\n".join([f"{path} has {len(faults)} faults:", *faults])) from error


def parse_key_hashes(text: str) -> dict[str, str]:
    """Return digests by key reference.

    Raises
    ------
    InvalidError
        If the text is not a JSON object of digests. The message repeats no value, because it may
        be a key given by mistake.

    Examples
    --------
    >>> list(parse_key_hashes('{"office": "' + "ab" * 32 + '"}'))
    ['office']
    """
    try:
        values = msgspec.json.decode(text.encode(), type=dict[str, str])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidError(
            "the file of --keys is not a JSON object of references and digests; correct it"
        ) from error
    wrong = [name for name, value in values.items() if not KEY_HASH.fullmatch(value.lower())]
    if wrong:
        raise InvalidError(
            f"the file of --keys has no SHA-256 digest for {', '.join(wrong)}; give 64 "
            "hexadecimal digits, never the key itself"
        )
    return {name: value.lower() for name, value in values.items()}
