"""The node process: adapters that run the decisions of sassafraswinch."""
