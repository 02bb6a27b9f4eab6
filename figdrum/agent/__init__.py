"""The agent process beside one target."""
