"""The node process: network adapters around the decision logic of sassafraswinch."""
