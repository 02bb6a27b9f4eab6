"""Processes that carry packets: a balancer and an agent."""
