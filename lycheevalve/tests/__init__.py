"""Tests of the package; each class covers one subject."""
