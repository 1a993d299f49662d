"""The operators' tool: a porcelain of user verbs and its command line."""
