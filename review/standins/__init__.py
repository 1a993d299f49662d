"""Stand-ins of the review's cases: store, backend servers, requesters and platform."""
