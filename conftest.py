"""Settings of all tests."""

import hypothesis

# CI gives the same verdict on every run: generated input comes from a fixed
# seed, and a busy machine fails no test by its speed.
hypothesis.settings.register_profile('figdrum', derandomize=True, deadline=None)
hypothesis.settings.load_profile('figdrum')
