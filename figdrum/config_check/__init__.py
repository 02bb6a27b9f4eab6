"""Checks of the platform's configuration object before it is sent.

Explanation
===========

`document` reads the file, `entries` decodes its routes and services one by one,
`faults` locates what the balancers' decoder refuses, `unused_entries` and
`limits` find what is accepted and has another effect than its author may
expect, and `comparison` lists the differences from the version in force.
`check` puts them together. The decoder is a parameter: this package does not
repeat its rules.
"""
