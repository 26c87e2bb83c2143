"""The main job, end to end on loopback."""
