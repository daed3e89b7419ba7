"""Run a gateway or a replica on the users' platform."""

import signal
import sys

# A changed settings file is announced by SIGHUP at any time, and ends a process that has no handler
# yet. What is imported below takes longer than all other steps of the start; the settings are read
# after it, so that nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from marjorambridge.platform.main import run  # noqa: E402

if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
