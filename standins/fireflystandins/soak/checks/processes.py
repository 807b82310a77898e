"""Nodes that end by themselves or take too much."""

from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan


class OwnEnds(base.Checker):
    """Processes that end by themselves."""

    rule = "OWN-END"
    sentence = "a node ends only when it is told to, and then in order"

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        breaks = [
            base.Break(
                self.rule, at_s, f"{name} ended, exit code {code}", name
            )
            for name, at_s, code in seen.own_ends
        ]
        stops = seen.performed(plan.Kind.STOP)
        for happening in stops:
            code = happening.exit_code
            if code and not self._is_excused(seen, happening):
                name = happening.strike.target
                text = f"exit code {code} after SIGTERM"
                breaks.append(
                    base.Break(self.rule, happening.began_s, text, name)
                )
        return base.Verdict(len(stops) + len(seen.samples), breaks)

    def _is_excused(
        self, seen: evidence.Evidence, stop: evidence.Happening
    ) -> bool:
        """Return whether the node was paused while it stopped."""
        paused = frozenset({plan.Kind.PAUSE})
        name = stop.strike.target
        until_s = stop.began_s + seen.plan.grace_s
        return seen.was_disturbed(stop.began_s, until_s, paused, name)


class Growth(base.Checker):
    """Memory and descriptors beyond the limits of a process."""

    rule = "GROWTH"
    sentence = "a node stays within its memory and descriptors"
    memory_bytes = 300 << 20
    descriptors = 4100

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        for key, rows in seen.samples.items():
            checked += len(rows)
            at_s, memory, descriptors = max(rows, key=lambda row: row[1:])
            if memory > self.memory_bytes or descriptors > self.descriptors:
                text = f"{key}: {memory >> 20} MiB, {descriptors} descriptors"
                node = key.partition("/")[0]
                breaks.append(base.Break(self.rule, at_s, text, node))
        return base.Verdict(checked, breaks)
