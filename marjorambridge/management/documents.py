"""Check configuration documents of the platform before they are sent."""

import sys
from pathlib import Path

import typer
from msgspec import DecodeError, Struct, json

from marjorambridge.management.exceptions import UsageError
from marjorambridge.management.output import print_json
from marjorambridge.manifests.exceptions import InvalidManifestError
from marjorambridge.manifests.models import Manifest
from marjorambridge.manifests.review import (
    Finding,
    Severity,
    describe_differences,
    review_manifest,
)
from marjorambridge.platform.documents import decode_document

STANDARD_INPUT = Path("-")
EXIT_SOUND, EXIT_WARNINGS, EXIT_ERRORS = 0, 1, 2


class DocumentReport(Struct):
    """What the check of a document found.

    Attributes
    ----------
    differences : list of str or None
        None if there is no document in force to compare with.
    """

    findings: list[Finding]
    differences: list[str] | None = None


def read_document(path: Path) -> bytes:
    """Return the bytes of a file, or of the standard input.

    Raises
    ------
    UsageError
        If the file can't be read.
    """
    try:
        return sys.stdin.buffer.read() if path == STANDARD_INPUT else path.read_bytes()
    except OSError as error:
        raise UsageError(f"{path} can't be read: {error.strerror}; correct its name") from error


def is_questionnaire(data: bytes) -> bool:
    """Return whether a file is a questionnaire: an object, and no list of routes.

    Examples
    --------
    >>> [is_questionnaire(data) for data in (b'{"services": []}', b'{"routes": []}', b"[")]
    [True, False, False]
    """
    try:
        fields = json.decode(data)
    except (DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return isinstance(fields, dict) and "routes" not in fields


def review_document(data: bytes, in_force: bytes | None) -> DocumentReport:
    """Return the findings of a document, and its differences from the one in force, if given.

    Raises
    ------
    UsageError
        If the document in force can't be decoded.
    """
    try:
        manifest = decode_document(data)
    except InvalidManifestError as error:
        return DocumentReport([Finding(Severity.ERROR, "document", str(error))])
    report = DocumentReport(review_manifest(manifest))
    if in_force is not None:
        report.differences = describe_differences(_decode_in_force(in_force), manifest)
    return report


def _decode_in_force(data: bytes) -> Manifest:
    try:
        return decode_document(data)
    except InvalidManifestError as error:
        raise UsageError(
            f"the document of --in-force is invalid: {error}; read it again"
        ) from error


def print_report(report: DocumentReport, as_json: bool) -> int:
    """Print a report and return the exit code."""
    if as_json:
        print_json(report)
    else:
        for item in report.findings:
            typer.echo(f"{item.severity.value}: {item.subject}: {item.problem}")
        for line in report.differences or ():
            typer.echo(f"difference: {line}")
    severities = {item.severity for item in report.findings}
    if Severity.ERROR in severities:
        return EXIT_ERRORS
    return EXIT_WARNINGS if severities else EXIT_SOUND
