"""Small fakes of the outside systems that lagooncrank talks to."""
