"""The agent's decision on which agent holds a flow."""
