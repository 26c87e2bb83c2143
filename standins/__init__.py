"""Stand-ins for the model engines and plain services behind lagooncrank."""
