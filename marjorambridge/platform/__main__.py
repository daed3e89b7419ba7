"""Run a gateway or a replica on the users' platform."""

import sys

from marjorambridge.platform.main import run

if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
