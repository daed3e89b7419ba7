"""Run the real programs as processes and inject faults from outside."""
