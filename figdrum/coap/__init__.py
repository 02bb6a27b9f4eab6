"""CoAP termination towards callers and the HTTP call to the target."""
