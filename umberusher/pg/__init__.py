"""The PostgreSQL frontend/backend protocol, version 3: codec and sessions of both sides, without I/O."""
