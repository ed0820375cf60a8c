"""The gateway: a daemon that forwards requests by routes, and takes its turn at control.

`GatewayDaemon` is the public entry; the other modules are its parts.
"""
