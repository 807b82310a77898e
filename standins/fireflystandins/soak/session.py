"""Lets callers and strikes act on the processes of a plan."""

import asyncio
import concurrent.futures
import random
import time

from fireflystandins.soak import callers
from fireflystandins.soak import evidence
from fireflystandins.soak import plan
from fireflystandins.soak import system

SAMPLE_INTERVAL_S = 1.0
OTHER_THREADS = 4
"""Beside those of the strikes, all of which may last at once."""


async def play(running: system.SoakSystem) -> evidence.Evidence:
    """Run the callers and the strikes of the system's plan."""
    played = running.evidence.plan
    chance = random.Random(played.seed)
    record = running.evidence.answers
    places = running.places()
    people = [
        callers.Caller(
            index * len(places) + number,
            places[number:] + places[:number],
            played.load,
            random.Random(chance.random()),
            record,
        )
        for number in range(len(places))
        for index in range(played.load.callers)
    ]
    loop = asyncio.get_running_loop()
    threads = concurrent.futures.ThreadPoolExecutor(
        len(played.strikes) + OTHER_THREADS
    )
    loop.set_default_executor(threads)
    began_s = time.monotonic()
    tasks = [loop.create_task(caller.run()) for caller in people]
    strikes = [
        loop.create_task(_strike(running, strike)) for strike in played.strikes
    ]
    while time.monotonic() < began_s + played.lasts_s:
        await asyncio.to_thread(running.sample)
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    for caller in people:
        caller.stopping = True
    await asyncio.gather(*strikes)
    await asyncio.wait(tasks, timeout=callers.ANSWER_TIMEOUT_S + 1)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return running.evidence


async def _strike(running: system.SoakSystem, strike: plan.Strike) -> None:
    await asyncio.sleep(strike.at_s)
    await asyncio.to_thread(running.perform, strike)
