"""Raises this process's limit of file descriptors."""

from __future__ import annotations

import resource

from umberusher.errors import UsageError


def ensure_descriptor_limit(required: int) -> None:
    """Raise this process's soft limit to the required number of descriptors.

    Raises:
        UsageError: The hard limit is lower.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and required > hard:
        raise UsageError(
            f"a worker needs {required:,} descriptors, the system allows {hard:,}: use more "
            "workers or fewer brokers"
        )
    if soft != resource.RLIM_INFINITY and soft < required:
        resource.setrlimit(resource.RLIMIT_NOFILE, (required, hard))
