"""Keep the table of endpoints that announce themselves."""
