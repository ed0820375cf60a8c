"""What lives for one revision of the configuration: models, checks, differences."""
