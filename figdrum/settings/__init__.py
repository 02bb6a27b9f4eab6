"""Reading and validation of settings files."""
