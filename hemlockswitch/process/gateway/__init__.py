"""The gateway: a daemon that forwards requests by routes and shares the control duties with its peers.

`GatewayDaemon` is the public entry point; the other modules are internal.
"""
