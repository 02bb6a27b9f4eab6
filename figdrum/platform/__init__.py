"""The platform's object API and its implementations."""
