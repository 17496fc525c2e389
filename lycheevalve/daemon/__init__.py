"""The processes: trio tasks for sockets, links, files, logs and metrics."""
