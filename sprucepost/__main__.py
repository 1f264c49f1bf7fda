"""Entry point of ``python -m sprucepost``."""

import sys


def run() -> None:
    """Run the command line; ``node`` skips the imports of libraries that its memory limit does not allow."""
    if sys.argv[1:] == ["node"]:
        from sprucepost.node.service import main as node

        sys.exit(node())
    from sprucepost.cli.main import main

    main()


if __name__ == "__main__":
    run()
