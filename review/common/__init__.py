"""What the cases share: the deployment and its stand-ins."""
