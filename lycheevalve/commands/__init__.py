"""The commands of the command-line tool, one module each."""
