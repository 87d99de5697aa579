"""Start a program of currantbarrow from a checkout."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from currantbarrow.platform.programs import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
