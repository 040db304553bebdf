"""Serving of a stand-in until it is told to stop."""

import tornado.web

from amaranthbend.programs.startup import prepare_event_loop

__all__ = ["serve"]


async def serve(app: tornado.web.Application, address: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = prepare_event_loop()
    app.listen(port, address)
    print(f"event=ready address={address} port={port}", flush=True)
    await stopped.wait()
