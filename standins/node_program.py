"""The node process as a program of its own, started and signalled from outside."""

import asyncio
import contextlib
import os
import subprocess
import sys
from pathlib import Path

from amaranthbend.adapters.addresses import split_address
from amaranthbend.programs.node import METRICS_ADDRESS_ENV_VAR

from .processes import pick_endpoint

__all__ = ["START_S", "NodeProgram"]

START_S = 20.0
POLL_S = 0.002
SETTINGS = """
[self]
node = "{name}"
zone = "{data_centre}"
ipAddress = "{address}"
[network.listenAddresses]
frontend = "{frontend}"
readiness = "{readiness}"
[platform.platform]
address = "{store}"
[terms.bounds]
gracePeriod = "{grace}"
probesPerS = 600
retryBudgetRatio = 0.2
retryBudgetSlack = 160
"""


class NodeProgram:
    """The program, its settings file and its addresses.

    Parameters
    ----------
    folder : Path
        Where its settings and logs lie.
    address : str
        IP number of its ports.
    name : str
        Name of the host.
    settings : str
        Further bounds and tables of the settings file.
    data_centre : str
        Data centre of the host.
    """

    def __init__(
        self,
        folder: Path,
        address: str,
        name: str = "host-1",
        settings: str = "",
        data_centre: str = "huye",
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self._address = address
        self._settings = settings
        self.file = folder / f"{name}.toml"
        self.log_file = folder / f"{name}.log"
        self.names = {
            role: f"{address}:{pick_endpoint(address).port}"
            for role in ("frontend", "readiness", "store", "metrics")
        }
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, grace: str = "6s") -> None:
        """Write the settings file."""
        settings = SETTINGS.format(
            name=self.name,
            data_centre=self.data_centre,
            address=self._address,
            grace=grace,
            **self.names,
        )
        self.file.write_text(settings + self._settings)

    async def start(self) -> None:
        """Start the program; its logs are added to those of earlier starts."""
        with self.log_file.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "amaranthbend.programs.node",
                env={
                    **os.environ,
                    "AMARANTHBEND_CONFIG": str(self.file),
                    METRICS_ADDRESS_ENV_VAR: self.names["metrics"],
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def kill(self) -> None:
        """End the program at once, if it runs."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        await self.process.wait()

    async def restart(self) -> None:
        """Kill the program, and start it again."""
        await self.kill()
        await self.start()

    def signal(self, number: int) -> None:
        """Send a signal to the program, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection to the program."""
        return await self._open("frontend")

    async def connect_early(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection as soon as the program takes any."""
        async with asyncio.timeout(START_S):
            while True:
                with contextlib.suppress(OSError):
                    return await self.connect()
                await asyncio.sleep(POLL_S)

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            reader, writer = await self._open("readiness")
        except OSError:
            return False
        writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return answer.startswith(b"HTTP/1.1 200")

    async def wait_ready(self) -> None:
        """Wait until the platform would send connections."""
        async with asyncio.timeout(START_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def read_output(self) -> str:
        """Wait for the end, and return what the program wrote."""
        assert self.process is not None
        await asyncio.wait_for(self.process.wait(), START_S)
        return self.log_file.read_text()

    async def _open(self, role: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*split_address(self.names[role]))
