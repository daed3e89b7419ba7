"""Run a gateway or a replica with the settings file of the platform."""

import argparse
import gc
import os
from pathlib import Path
from typing import TYPE_CHECKING

from marjorambridge.conf.exceptions import SettingsError
from marjorambridge.conf.nodes import NodeSettings, get_peer_address, load_node_settings
from marjorambridge.transport import early

if TYPE_CHECKING:
    from marjorambridge.daemon.replica import ReplicaAdapter

SETTINGS_VARIABLE = "MARJORAMBRIDGE_NODE_FILE"
DEFAULT_SETTINGS = "/etc/marjorambridge/node.yaml"
EXIT_SETTINGS = 2


def run(arguments: list[str]) -> int:
    """Run the process until a signal stops it and return its exit code."""
    parser = argparse.ArgumentParser(prog="python3 -m marjorambridge.platform", description=__doc__)
    parser.add_argument("role", choices=("gateway", "replica"))
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args(arguments)
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    try:
        settings = load_node_settings(path)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, flush=True)
        return EXIT_SETTINGS
    if options.check:
        print(f"{path} is valid")
        return 0
    # The imports below take most of the start, during which other hosts connect already.
    early.open_socket(get_peer_address(settings))
    from loguru import logger

    from marjorambridge.telemetry import logs

    logs.start_rate_limited(settings.log_level, settings.host)
    try:
        return _run_role(options.role, settings, path)
    finally:
        logger.info("the process ends")
        logs.close()


def _run_role(role: str, settings: NodeSettings, path: Path) -> int:
    # Each role imports only what it uses, because processes are restarted often.
    if role == "gateway":
        from marjorambridge.daemon import gateway
        from marjorambridge.platform import dialect, documents, readiness

        adapter = gateway.GatewayAdapter(
            dialect.create_dialect(), documents.decode_stored_document, readiness.handle_readiness
        )
        _enable_collections()
        return gateway.run(settings, path, adapter)
    from marjorambridge.daemon import replica

    _enable_collections()
    return replica.run(settings, path, _create_replica_adapter)


def _create_replica_adapter() -> "ReplicaAdapter":
    # Imported when the replica takes part in elections, which need no HTTP.
    from marjorambridge.daemon.replica import ReplicaAdapter
    from marjorambridge.platform import operations

    return ReplicaAdapter(operations.handle_call, operations.get_body_limit)


def _enable_collections() -> None:
    """Let the garbage collector run, but never over what the imports created."""
    gc.freeze()
    gc.enable()
