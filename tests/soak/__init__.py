"""Run the programs as processes and inject faults with signals, files and proxies."""
