"""The state that the components of one node share."""

import dataclasses

from fireflypulley.core import configuration
from fireflypulley.core import counters
from fireflypulley.core import facts
from fireflypulley.core import jobs
from fireflypulley.core import ledger
from fireflypulley.core import membership
from fireflypulley.core import pauses
from fireflypulley.core import poison
from fireflypulley.core import pool
from fireflypulley.core import retries
from fireflypulley.core import rollouts
from fireflypulley.core import routing
from fireflypulley.core import shares
from fireflypulley.core import topology
from fireflypulley.core import warmup


@dataclasses.dataclass(slots=True)
class NodeState:
    """The state machines of a node."""

    this: topology.Node
    shared: facts.SharedState
    config: configuration.Configuration
    members: membership.Membership
    pool: pool.Pool
    warmup: warmup.Warmup
    router: routing.Router
    rollouts: rollouts.Rollouts
    quarantine: poison.Quarantine
    ledger: ledger.Ledger
    jobs: jobs.Jobs
    budget: retries.RetryBudget
    counters: counters.Counters
    pauses: pauses.PauseGuard
    shares: shares.Shares


def create(this: topology.Node, incarnation: int) -> NodeState:
    """Return the state of a node that has just started."""
    shared = facts.SharedState()
    config = configuration.Configuration()
    members = membership.Membership(this, incarnation, shared)
    return NodeState(
        this=this,
        shared=shared,
        config=config,
        members=members,
        pool=pool.Pool(),
        warmup=warmup.Warmup(),
        router=routing.create(),
        rollouts=rollouts.Rollouts(this.node_id, config, shared),
        quarantine=poison.Quarantine(shared),
        jobs=jobs.Jobs(this.node_id, incarnation, members),
        ledger=ledger.Ledger(f"{this.node_id}.{incarnation}"),
        budget=retries.RetryBudget(),
        counters=counters.Counters(),
        pauses=pauses.PauseGuard(),
        shares=shares.Shares(config),
    )
