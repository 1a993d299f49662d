"""Stand-ins of the second review: store, servers, requesters and sidecar processes."""
