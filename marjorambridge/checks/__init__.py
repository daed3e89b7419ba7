"""Check settings and questionnaires before they are used."""
