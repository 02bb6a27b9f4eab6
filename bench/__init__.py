"""Benches, proofs and the build of the one file."""
