"""Generated message classes; see protos/ and 'make proto'."""
