"""Tests of benches and of the build."""
