"""Stand-in plain service: runs every call and counts its runs.

Runs are counted by idempotency key, so that a call that ran twice shows.
"""

import argparse
import asyncio
from collections.abc import Mapping
import time

from aiohttp import web

from lagooncrank import model
from standins import _lifecycle
from standins import _process


class PlainServiceStandIn:
    """State and HTTP handlers of one stand-in plain service."""

    def __init__(
        self,
        backend_server_id: str,
        instance_id: str,
        failure_domain_id: str,
        serves: tuple[str, ...],
    ) -> None:
        self._backend_server_id = model.BackendServerId(backend_server_id)
        self._instance_id = model.InstanceId(instance_id)
        self._failure_domain_id = model.FailureDomainId(failure_domain_id)
        self._serves = tuple(model.ServiceName(name) for name in serves)
        self.address = ""
        self.incarnation = time.time_ns()
        self.is_leaving = False
        #: Method and path of each run, by idempotency key.
        self.runs: dict[str, list[str]] = {}
        #: Headers of all calls, oldest first.
        self.headers: list[Mapping[str, str]] = []
        #: While this is not set, calls run but are not responded to.
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        #: Whether connections are aborted between the run of a call and its
        #: response.
        self.drops_responses = False
        #: Bytes that are written instead of responses; None for none.
        self.raw_response: bytes | None = None

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.router.add_get("/runs", self._runs)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    def announcement(self, sequence: int) -> model.Announcement:
        """Returns an announcement of the service's current state."""
        state = model.BackendServerState.READY
        if self.is_leaving:
            state = model.BackendServerState.LEAVING
        return model.Announcement(
            backend_server_id=self._backend_server_id,
            address=self.address,
            instance_id=self._instance_id,
            failure_domain_id=self._failure_domain_id,
            fabric_domain_id=model.FabricDomainId(""),
            kind=model.BackendServerKind.PLAIN_SERVICE,
            incarnation=self.incarnation,
            sequence=sequence,
            state=state,
            serves=self._serves,
        )

    async def _runs(self, _: web.Request) -> web.Response:
        counts = {key: len(runs) for key, runs in self.runs.items()}
        return web.json_response(counts)

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.headers.append(request.headers)
        key = request.headers.get("Idempotency-Key", "")
        runs = self.runs.setdefault(key, [])
        runs.append(f"{request.method} {request.path_qs}")
        if self.drops_responses and request.transport is not None:
            request.transport.abort()
            await asyncio.Event().wait()
        if self.raw_response is not None and request.transport is not None:
            request.transport.write(self.raw_response)
            request.transport.close()
            await asyncio.Event().wait()
        await self.may_respond.wait()
        response_body = {
            "server": self._backend_server_id,
            "path": request.path_qs,
            "run": len(runs),
            "received": body.decode("utf-8", "replace"),
        }
        return web.json_response(response_body, status=201)


def _parse_options() -> argparse.Namespace:
    parser = _process.base_parser("Stand-in plain service.")
    parser.add_argument("--serves", default="booking")
    return parser.parse_args()


async def _main(arguments: argparse.Namespace) -> None:
    service = PlainServiceStandIn(
        arguments.id,
        arguments.instance,
        arguments.failure_domain,
        tuple(arguments.serves.split(",")),
    )
    await _lifecycle.run_until_sigterm(service, arguments)


if __name__ == "__main__":
    asyncio.run(_main(_parse_options()))
