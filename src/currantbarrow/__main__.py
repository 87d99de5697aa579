"""Run the operators' command line as a module."""

from currantbarrow.cli.main import main

if __name__ == "__main__":
    main()
