"""Thrift schema, its generated classes, and frames that carry its messages."""
