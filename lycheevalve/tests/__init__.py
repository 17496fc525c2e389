"""Tests: a class for each subject."""
