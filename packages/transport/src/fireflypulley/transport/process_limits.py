"""What the system allows this process, beside what the settings say."""

import dataclasses
import resource

from fireflypulley.core.gateway import node_limits


def apply(limits: node_limits.NodeLimits) -> node_limits.NodeLimits:
    """Return the limits with no more descriptors than the process may open.

    A process that reaches its own limit can neither connect nor accept.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY or allowed >= limits.descriptors:
        return limits
    return dataclasses.replace(limits, descriptors=allowed)
