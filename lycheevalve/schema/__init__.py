"""The Thrift schema, its generated classes, and frames."""
