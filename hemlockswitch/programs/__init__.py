"""The command lines. Nothing else imports these modules."""
