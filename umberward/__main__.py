"""Command line entry point: ``python -m umberward``."""

from umberward.cli.main import main

if __name__ == "__main__":
    main()
