"""Entry point of the node's command, ``sassafraswinchd``."""

from sassafraswinch_node.signals import ignore_unused_signals


def main() -> None:
    """Run the node."""
    # Before the libraries are imported: their import takes most of the start.
    ignore_unused_signals()
    from sassafraswinch_node.daemon import main as run_node

    run_node()


if __name__ == "__main__":
    main()
