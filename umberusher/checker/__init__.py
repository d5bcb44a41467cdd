"""The rules, checked from outside: by what crossed the stand-ins' sockets and nothing else."""
