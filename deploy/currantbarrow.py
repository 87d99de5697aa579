"""Start a program of currantbarrow from the layout that the build creates."""

import gc
import signal
import sys
from pathlib import Path

# Loading the program takes some tenths of a second, during which a reload (SIGHUP) would end the
# process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Loading creates many objects and little garbage; the program enables collection afterwards.
gc.disable()

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))

from currantbarrow.platform.programs import main

if __name__ == "__main__":
    sys.exit(main())
