"""What developers run; nothing of it is part of the service."""
