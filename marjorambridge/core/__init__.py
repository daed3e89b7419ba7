"""Define the events, effects, outcomes and identities that all pure packages share."""
