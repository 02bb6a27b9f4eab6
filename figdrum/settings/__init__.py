"""INI settings and their typed schema."""
