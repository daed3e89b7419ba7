"""Serve a fake admin address, and build reports."""

import contextlib
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec

from marjorambridge.configuration.models import (
    AvailabilityZone,
    Configuration,
    Service,
    ServiceKind,
    Workspace,
)
from marjorambridge.configuration.state import ChangeRecord
from marjorambridge.http.reports import (
    ConfigurationReport,
    EndpointReport,
    GroupReport,
    HostEntryReport,
    HostReport,
    ShardReport,
)
from marjorambridge.management.main import run_command_line

TOKEN = "operator"
OWNED_SHARD = "geru-model/bhuj/0"


def make_configuration(version=4, out=False):
    return Configuration(
        version,
        {"geru-model": Service("geru-model", ServiceKind.ENGINE, ("bhuj",))},
        {"pit": Workspace("pit", ("ab" * 32,), ("geru-model",))},
        {"bhuj": AvailabilityZone("bhuj", "kutch", out)},
    )


def make_host_entry(host="entry-1", incarnation=7, applied=9, poll=0.1, state="live"):
    return HostEntryReport(host, incarnation, "10.0.0.1:1", "bhuj", "kutch", state, applied, poll)


def make_endpoint(name="e1", **changes):
    values = {"leaving": False, "silent": False, "warm": True, "last_seen_seconds": 5.0} | changes
    return EndpointReport(name, 3, "supplier-1", "10.0.1.1:1", limit=4, **values)


def make_shard(granting=True, endpoints=None):
    items = (make_endpoint(),) if endpoints is None else tuple(endpoints)
    return ShardReport(OWNED_SHARD, 5, granting, 0, items)


def make_report(**changes):
    values = {
        "host": "entry-1",
        "incarnation": 7,
        "zone": "bhuj",
        "region": "kutch",
        "fresh": True,
        "shutting_down": False,
        "halted": "",
        "replica": True,
        "unheard_replicas": (),
        "version": 4,
        "configuration_index": 9,
        "applied_index": 9,
        "view_index": 5,
        "hosts": (make_host_entry(),),
        "shards": (make_shard(),),
        "log_groups": (GroupReport(0, "leader", 2, "entry-1", 9, ("entry-1",), ()),),
    }
    return HostReport(**(values | changes))


class FakeAdmin:
    """Fake admin API of a host, which leaves the first `lost_answers` commands unanswered."""

    def __init__(self, lost_answers=0, answer=None, fresh=True):
        self.lost_answers = lost_answers
        self.answer = answer or (lambda command: (200, {"status": "accepted", "version": 5}))
        self.configuration = ConfigurationReport("entry-1", fresh, make_configuration(), ())
        self.report = make_report(version=5)
        self.commands = []

    def record_change(self, command):
        """Add a command to the history, as a host does when it accepts the command."""
        record = ChangeRecord(5, "asha", command["command_id"], command["wall"], "a change")
        self.configuration.history = (record,)
        self.configuration.configuration.version = 5


@contextlib.contextmanager
def serve(admin):
    class Handler(BaseHTTPRequestHandler):
        def log_message(self, *_):
            pass

        def reply(self, status, value):
            body = msgspec.json.encode(value)
            self.send_response(status)
            self.send_header("content-length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def refuse_without_token(self):
            if self.headers.get("authorization") == f"Bearer {TOKEN}":
                return False
            self.reply(401, {"error": {"message": "send a valid operator token"}})
            return True

        def do_GET(self):  # noqa: N802
            if not self.refuse_without_token():
                reports = {"/report": admin.report, "/configuration": admin.configuration}
                self.reply(200, reports[self.path])

        def do_POST(self):  # noqa: N802
            if self.refuse_without_token():
                return
            command = json.loads(self.rfile.read(int(self.headers["content-length"])))
            admin.commands.append(command)
            if len(admin.commands) > admin.lost_answers:
                self.reply(*admin.answer(command))

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.02})
    thread.start()
    try:
        yield "{}:{}".format(*server.server_address)
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def run_tool(folder, addresses, *arguments, token=TOKEN):
    """Run the tool in this process and return its exit code."""
    path = folder / "operator.token"
    path.write_text(token)
    options = [item for address in addresses for item in ("--address", address)]
    return run_command_line([*options, "--token-file", str(path), *arguments])
