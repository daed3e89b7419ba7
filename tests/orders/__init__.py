"""Test the orders package."""
