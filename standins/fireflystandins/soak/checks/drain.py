"""Requests that reach an endpoint which has left."""

from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan


class Drain(base.Checker):
    """Requests that reach an endpoint after its entry was removed."""

    rule = "DRAIN"
    sentence = "an endpoint that leaves is asked no more after drain-ms"
    drain_s = 2.0
    write_s = 0.1
    """The store has the removal by then."""

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        breaks = []
        nodes = {answer.request_id: answer.node for answer in seen.answers}
        for run in seen.runs:
            left_s = seen.leaves.get(run.endpoint)
            if left_s is None or run.began_s < left_s:
                continue
            late_s = run.began_s - left_s - self.write_s
            if seen.was_path_struck(
                run.endpoint, run.began_s - base.CONTACT_S, run.began_s
            ):
                continue
            node = nodes.get(run.request_id, "")
            if late_s <= self.drain_s or self._is_excused(
                seen, left_s, run.began_s, node
            ):
                continue
            text = f"{run.endpoint} asked {late_s:.2f} s after it left"
            breaks.append(
                base.Break(self.rule, run.began_s, text, node, run.request_id)
            )
        return base.Verdict(len(seen.leaves), breaks)

    def _is_excused(
        self,
        seen: evidence.Evidence,
        left_s: float,
        began_s: float,
        node: str,
    ) -> bool:
        kinds = base.UNPLANNED | {plan.Kind.STOP}
        since_s = left_s - base.CONTACT_S
        return seen.was_disturbed(
            since_s, began_s, frozenset({plan.Kind.STORE})
        ) or seen.was_disturbed(since_s, began_s, kinds, node)
