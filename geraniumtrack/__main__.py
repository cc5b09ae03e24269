"""Runs the command line with `python -m geraniumtrack`."""

from geraniumtrack.cli.main import main

if __name__ == "__main__":
    main()
