"""``python -m umberward``: the command line."""

from umberward.cli.main import main

if __name__ == "__main__":
    main()
