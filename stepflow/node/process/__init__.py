"""The life of a node process: configuration, build, reload, graceful shutdown and hand-over."""
