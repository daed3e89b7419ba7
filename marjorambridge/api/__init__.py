"""Translate the product's own caller API and endpoint protocol; makes no decisions."""
