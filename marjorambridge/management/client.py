"""Call the admin addresses of hosts."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

import httpcore
import msgspec
from msgspec import Struct, field

from marjorambridge.http.reports import (
    CONFIGURATION_PATH,
    REPORT_PATH,
    ConfigurationReport,
    HostReport,
)
from marjorambridge.management.exceptions import InvalidError, UnavailableError, UsageError

CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 5.0
# The daemon times out a command after 10 s; its answer must arrive before this timeout.
COMMAND_READ_TIMEOUT_SECONDS = 15.0
MAX_PARALLEL_REQUESTS = 16
COMMANDS_PATH = "/commands"
COMMAND_STATUSES = (200, 400, 409, 410, 422, 503)

Report = TypeVar("Report")


class Client(Struct):
    """Admin addresses in the order of their use, operator token and connections."""

    addresses: tuple[str, ...]
    token: str
    pool: httpcore.ConnectionPool = field(default_factory=httpcore.ConnectionPool)


def close_client(client: Client) -> None:
    """Close all connections."""
    client.pool.close()


def send_request(
    client: Client, address: str, method: str, path: str, body: Any = None
) -> tuple[int, bytes]:
    """Make one request and return status and content.

    Raises
    ------
    UnavailableError
        If the host does not answer.
    UsageError
        If it refuses the token.
    """
    read = COMMAND_READ_TIMEOUT_SECONDS if path == COMMANDS_PATH else READ_TIMEOUT_SECONDS
    timeouts = {
        "connect": CONNECT_TIMEOUT_SECONDS,
        "read": read,
        "write": READ_TIMEOUT_SECONDS,
        "pool": read,
    }
    headers = {"authorization": f"Bearer {client.token}", "host": address}
    content = None
    if body is not None:
        content = msgspec.json.encode(body)
        headers |= {"content-type": "application/json", "content-length": str(len(content))}
    try:
        response = client.pool.request(
            method,
            f"http://{address}{path}",
            headers=headers,
            content=content,
            extensions={"timeout": timeouts},
        )
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        httpcore.ConnectionNotAvailable,
    ) as error:
        reason = str(error) or type(error).__name__
        raise UnavailableError(
            f"{address} does not answer ({reason}); check the address, or give another --address"
        ) from error
    if response.status == 401:
        raise UsageError(
            f"{address} refuses the operator token; check --token-file and "
            "operator_token_hashes in the settings of the host"
        )
    return response.status, response.content


def fetch_report(client: Client, address: str, path: str, kind: type[Report]) -> Report:
    """Return the report at `path` of one host.

    Raises
    ------
    UnavailableError, UsageError
        As for `send_request`; also if the answer is not a report.
    """
    status, content = send_request(client, address, "GET", path)
    if status != 200:
        raise UnavailableError(
            f"{address} answered {status} to GET {path}; check that it is the admin address of a "
            "host with the version of this tool"
        )
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise UnavailableError(
            f"{address} sent a report that this tool can't read ({error}); use the tool of the "
            "hosts' version"
        ) from error


def fetch_host_reports(client: Client) -> tuple[dict[str, HostReport], dict[str, str]]:
    """Request all reports in parallel; return reports, and error texts, by address."""

    def try_fetch(address: str) -> HostReport | UnavailableError:
        try:
            return fetch_report(client, address, REPORT_PATH, HostReport)
        except UnavailableError as error:
            return error

    with ThreadPoolExecutor(min(MAX_PARALLEL_REQUESTS, len(client.addresses))) as executor:
        replies = dict(
            zip(client.addresses, executor.map(try_fetch, client.addresses), strict=True)
        )
    reports = {name: item for name, item in replies.items() if isinstance(item, HostReport)}
    errors = {name: str(item) for name, item in replies.items() if not isinstance(item, HostReport)}
    return reports, errors


def fetch_configuration(client: Client) -> ConfigurationReport:
    """Return the configuration from the first fresh host, else the latest of those that answer.

    Raises
    ------
    UnavailableError
        If no host answers.
    """
    stale: list[ConfigurationReport] = []
    errors = []
    for address in client.addresses:
        try:
            report = fetch_report(client, address, CONFIGURATION_PATH, ConfigurationReport)
        except UnavailableError as error:
            errors.append(str(error))
            continue
        if report.fresh:
            return report
        stale.append(report)
    if not stale:
        raise UnavailableError("\n".join(errors))
    return max(stale, key=lambda report: report.configuration.version)


def build_sender(client: Client) -> Callable[[str, dict[str, Any]], dict[str, Any]]:
    """Return a function that sends the JSON object of a command to an address.

    It returns the JSON answer of the daemon, and raises `InvalidError` if the request is refused
    before it becomes a command.
    """

    def send(address: str, command: dict[str, Any]) -> dict[str, Any]:
        status, content = send_request(client, address, "POST", COMMANDS_PATH, command)
        try:
            answer = msgspec.json.decode(content, type=dict[str, Any])
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise UnavailableError(
                f"{address} sent an answer that this tool can't read; send the command again"
            ) from error
        if status in COMMAND_STATUSES and "status" in answer:
            return answer
        detail = answer.get("error")
        message = detail.get("message") if isinstance(detail, dict) else None
        if status in (400, 413):
            raise InvalidError(f"{address} refused the request: {message or status}")
        raise UnavailableError(
            f"{address} answered {status} ({message or 'no reason'}); check that it is an admin "
            "address"
        )

    return send
