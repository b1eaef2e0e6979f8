"""Programs that write parts of the documentation."""
