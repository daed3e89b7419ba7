"""Store replicated logs, votes and snapshots in files under one data folder."""
