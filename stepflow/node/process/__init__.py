"""The process of a node: configuration, build, start, reload, hand-over and graceful shutdown."""
