"""Configuration revisions: models, validation and differences."""
