"""What a node reads from and writes to the platform's object store."""
