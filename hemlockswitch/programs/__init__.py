"""The command line programs. No other package imports these modules."""
