"""One module for each command of the command-line tool."""
