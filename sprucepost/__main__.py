"""``python -m sprucepost``."""

import sys


def run() -> None:
    """The command; ``node`` is led past the libraries that it has no memory for."""
    if sys.argv[1:] == ["node"]:
        from sprucepost.node.service import main as node

        sys.exit(node())
    from sprucepost.cli.main import main

    main()


if __name__ == "__main__":
    run()
