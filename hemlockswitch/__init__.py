"""hemlockswitch: serving of language models and plain services on reclaimable VMs."""

__version__ = "0.1.0"
