"""Run a gateway or a replica on the platform."""

import gc
import os
import signal
import sys

# The platform may send SIGHUP for a changed settings file at any time, which ends a process without
# a handler. The imports below take longer than all other steps of the start. The settings are read
# after them, so that no change is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Imports create many objects and no garbage to speak of; collections while they run took a tenth of
# the processor time of the start. `run` enables them again.
gc.disable()

# `logs` replaces the output that loguru would prepare here; no line is logged before that.
os.environ.setdefault("LOGURU_AUTOINIT", "False")

from marjorambridge.platform.main import run  # noqa: E402

if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
