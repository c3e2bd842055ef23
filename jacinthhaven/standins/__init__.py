"""Stand-ins for the database group and the platform, used by tests and demo."""
