"""Independent review: cases and what they share."""
