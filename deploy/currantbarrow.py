"""Start a program of currantbarrow as the build has laid it out."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "target" / "app"))

from currantbarrow.platform.programs import main

if __name__ == "__main__":
    sys.exit(main())
