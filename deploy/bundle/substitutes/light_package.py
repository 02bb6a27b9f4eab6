"""A package that imports none of its modules."""
