"""Helpers that run the node process as a separate program."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer

from amaranthbend.adapters.addresses import split_address
from standins.instance import Instance
from standins.node_caller import make_configuration
from standins.node_program import NodeProgram
from standins.processes import pick_endpoint
from standins.store import StoreState, make_store_app

from .node_cases import ADDRESS

__all__ = ["run_program"]


@contextlib.asynccontextmanager
async def start_program(
    folder: Path, settings: str, configuration: dict[str, Any]
) -> AsyncIterator[tuple[NodeProgram, Instance]]:
    """Run the program with a store and an instance."""
    program = NodeProgram(folder, ADDRESS, settings=settings)
    program.write_settings()
    store = StoreState()
    server = HTTPServer(make_store_app(store))
    server.listen(split_address(program.names["store"])[1], ADDRESS)
    instance = Instance("i-0", "desk", "huye")
    await instance.start(ADDRESS, pick_endpoint(ADDRESS).port)
    store.put("servers", "i-0", instance.describe())
    store.put("config", "main", configuration)
    await program.start()
    try:
        await program.wait_ready()
        yield program, instance
    finally:
        await program.kill()
        server.stop()
        await instance.stop()


def run_program(
    folder: Path,
    check: Callable[[NodeProgram, Instance], Coroutine[Any, Any, None]],
    *,
    settings: str = "",
    configuration: dict[str, Any] | None = None,
) -> None:
    """Run a check against the program.

    Parameters
    ----------
    folder : Path
        Where its settings and logs lie.
    check : callable
        Checks the running program.
    settings : str
        Further tables of the settings file.
    configuration : dict or None
        Configuration in the store in place of the usual one.
    """

    async def run() -> None:
        async with start_program(folder, settings, configuration or make_configuration()) as (
            program,
            instance,
        ):
            await check(program, instance)

    asyncio.run(run())
