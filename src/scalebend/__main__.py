"""Entry point of ``python -m scalebend``."""

from scalebend.cli.main import main

if __name__ == "__main__":
    main()
