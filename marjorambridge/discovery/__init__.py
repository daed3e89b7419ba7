"""Maintain the table of endpoints from the reports that they send."""
