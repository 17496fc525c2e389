"""The tasks of a process: sockets, links, files, logs, metrics."""
