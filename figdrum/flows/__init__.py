"""Flows of opaque packets: placement, ownership and admission."""
