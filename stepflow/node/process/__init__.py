"""The life of a node's process: configuration, build, start, reload, hand-over and graceful shutdown."""
