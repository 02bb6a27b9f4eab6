"""Many simulated users at once."""

import random
import typing

from twisted.internet import defer
from twisted.internet import reactor

from figdrum.core import clock
from standins import caller_flow
from standins import fleet_client
from standins import flow_verdict
from standins import request_record

_KINDS = (fleet_client.ClientKind.SESSION, fleet_client.ClientKind.FEED,
          fleet_client.ClientKind.SESSION, fleet_client.ClientKind.DOWNLOAD)


class FleetSettings(typing.NamedTuple):
    """Size and request rate of a fleet.

    Attributes:
      flows: Number of users, each with one flow.
      requests: Number of requests over all users.
      duration_ms: Time over which the requests are spread.
      ramp_ms: Time within which the users start.
      client: Behaviour of each user; its `requests` and `pace_ms` are set by
        the fleet.
      seed: Seed of all random choices.
      name: Part of the names of its flows and requests; has to differ between
        the fleets of a run.
    """
    flows: int = 200
    requests: int = 2_000
    duration_ms: float = 40_000
    ramp_ms: float = 10_000
    client: fleet_client.ClientSettings = fleet_client.ClientSettings(0, 0)
    seed: int = 0
    name: str = ''


class CallerFleet:
    """Runs users against services and keeps their records.

    Attributes:
      done: Fires with the fleet when every user has finished its requests.
      clients: The users.
    """

    def __init__(self, services: list[caller_flow.FlowSettings],
                 settings: FleetSettings):
        self.done: defer.Deferred = defer.Deferred()
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._unfinished = 0
        self.clients: list[fleet_client.FleetClient] = []
        for number in range(settings.flows):
            self._add_client(number, services[number % len(services)])

    @property
    def flows(self) -> list[caller_flow.CallerFlow]:
        """Every flow, including those refused before they were established."""
        return [flow for client in self.clients for flow in client.flows]

    @property
    def records(self) -> list[request_record.RequestRecord]:
        """Every request of every flow."""
        return [record for flow in self.flows for record in flow.records]

    @property
    def strays(self) -> list[str]:
        """Received datagrams that match no request of their flow."""
        return [
            f'{flow.name}: {stray}' for flow in self.flows
            for stray in flow.strays
        ]

    @property
    def requests_done(self) -> int:
        """Requests answered or given up; refused attempts do not count."""
        return sum(client.requests_done for client in self.clients)

    def start(self) -> defer.Deferred:
        """Starts every user at a random time within `ramp_ms`.

        Returns:
          The Deferred `done`.
        """
        for client in self.clients:
            delay_ms = self._rng.uniform(0, self._settings.ramp_ms)
            reactor.callLater(delay_ms / clock.MS_PER_S, client.send_next)
        return self.done

    def stop(self) -> None:
        """Closes every flow."""
        for client in self.clients:
            client.stop()

    def broken(self, rules: flow_verdict.VerdictRules) -> dict[str, str]:
        """Returns the broken flows with the reasons."""
        found = {
            flow.name:
                flow_verdict.broken_reason(flow.records,
                                           list(flow.feeds.values()), rules)
            for flow in self.flows
        }
        for flow in self.flows:
            if flow.strays and not found[flow.name]:
                found[flow.name] = f'stray answer: {flow.strays[0]}'
        return {name: why for name, why in found.items() if why}

    def to_json(self) -> dict[str, typing.Any]:
        """Returns every record as a JSON object."""
        return {
            'records': [record.to_json() for record in self.records],
            'feeds': [
                feed.to_json()
                for flow in self.flows
                for feed in flow.feeds.values()
            ],
            'strays': self.strays
        }

    def _add_client(self, number: int,
                    service: caller_flow.FlowSettings) -> None:
        flows = self._settings.flows
        share = self._settings.requests // flows
        share += number < self._settings.requests % flows
        if not share:
            return
        settings = self._settings.client._replace(
            requests=share, pace_ms=self._settings.duration_ms / share)
        kind = _KINDS[(number // 2) % len(_KINDS)]
        client = fleet_client.FleetClient(
            f'{service.service}{self._settings.name}.{number}', kind, service,
            settings, random.Random(self._rng.random()), self._on_done,
            self._send_copy)
        self._unfinished += 1
        self.clients.append(client)

    def _on_done(self, _: fleet_client.FleetClient) -> None:
        self._unfinished -= 1
        if not self._unfinished:
            self.done.callback(self)

    def _send_copy(self, sender: fleet_client.FleetClient,
                   call: request_record.Call) -> None:
        others = [
            c for c in self.clients if c is not sender and
            c.service == sender.service and c.flow.is_established
        ]
        if others:
            self._rng.choice(others).flow.request(call)
