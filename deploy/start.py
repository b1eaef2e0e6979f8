"""Starts one instance from a checkout: the platform runs it with its settings."""

import gc
import pathlib
import signal
import sys

# Modules are loaded for good; ``leave_out_startup_objects`` begins collections.
gc.disable()

# Until the instance handles it, a signal to read the settings would end the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from coppercleat.cli import main  # noqa: E402 - the path comes first

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
