"""The published list of back ends of each service."""
