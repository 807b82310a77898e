"""Faults of a modelled fleet, drawn by chance."""

from . import fleets

FREEZES_S = (0.6, 12.0)
CUTS_S = (1.0, 40.0)
WEIGHTS = (0.0, 0.0, 0.2, 1.0)


def _some(fleet):
    count = fleet.chance.randint(1, len(fleet.nodes))
    return fleet.chance.sample(fleet.nodes, count)


def freeze(fleet):
    """Let some nodes stand still."""
    for_s = fleet.chance.uniform(*FREEZES_S)
    for node in _some(fleet):
        node.freeze(fleet.now_s, for_s)


def cut(fleet):
    """Let some nodes be out of touch with the others, one way or both."""
    for_s = fleet.chance.uniform(*CUTS_S)
    fleet.cut(_some(fleet), for_s, fleet.chance.random() < 0.5)


def restart(fleet):
    """Restart some nodes, each once in a window."""
    for node in _some(fleet):
        is_old = fleet.now_s - node.started_s >= fleets.WINDOW_S
        if is_old and node.thaws_s <= fleet.now_s:
            fleet.restart(node)


def replace(fleet):
    """Let a node end for ever, and a new one come."""
    fleet.replace(fleet.chance.choice(fleet.nodes))


def set_clock(fleet):
    """Set the clocks of some nodes."""
    for node in _some(fleet):
        node.clock_offset_s += fleet.chance.uniform(-20.0, 20.0)


def move(fleet):
    """Let callers choose other nodes."""
    fleet.weights = [fleet.chance.choice(WEIGHTS) for _ in fleet.nodes]
    if not any(fleet.weights):
        fleet.weights[0] = 1.0


FAULTS = (freeze, cut, restart, replace, set_clock)


def play(fleet, faults=FAULTS, count=8):
    """Let faults happen beside load that moves."""
    fleet.play(15.0)
    for _ in range(count):
        move(fleet)
        fleet.chance.choice(faults)(fleet)
        fleet.play(fleet.chance.uniform(0.3, 8.0))
    fleet.play(12.0)
