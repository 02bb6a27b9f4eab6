"""Runs a fleet of CoAP callers and writes their records.

Explanation
===========

The first line on stdout is `{"flows": n}`, the last one holds the counts by
ending. `--out` names a file for all records. SIGTERM ends the run early.
"""

import argparse
import collections
import json

from twisted.internet import reactor

from standins import caller_fleet
from standins import caller_flow
from standins import fleet_client
from standins import http_service


def _parse_service(text: str) -> tuple[str, tuple[str, int]]:
    name, _, address = text.partition('=')
    return name, http_service.parse_address(address)


def _write_records(fleet: caller_fleet.CallerFleet, path: str) -> None:
    fleet.stop()
    endings = collections.Counter(r.ending.value for r in fleet.records)
    if path:
        with open(path, 'w', encoding='utf-8') as out:
            json.dump(fleet.to_json(), out, indent=1)
    http_service.print_announcement(sent=len(fleet.records),
                                    strays=len(fleet.strays),
                                    **endings)


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description='Caller stand-in')
    parser.add_argument('--service',
                        type=_parse_service,
                        action='append',
                        required=True,
                        help='name=host:port')
    parser.add_argument('--host', default=http_service.LOOPBACK)
    parser.add_argument('--flows', type=int, default=200)
    parser.add_argument('--requests', type=int, default=2000)
    parser.add_argument('--duration-ms', type=float, default=40_000)
    parser.add_argument('--ramp-ms', type=float, default=10_000)
    parser.add_argument('--ack-timeout-ms', type=int, default=2_000)
    parser.add_argument('--answer-timeout-ms', type=int, default=30_000)
    parser.add_argument('--deadline-ms', type=int, default=10_000)
    parser.add_argument('--repeat-share', type=float, default=0.1)
    parser.add_argument('--report-bytes', type=int, default=20_000)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--out', default='')
    args = parser.parse_args()
    client = fleet_client.ClientSettings(0,
                                         0,
                                         deadline_ms=args.deadline_ms,
                                         repeat_share=args.repeat_share,
                                         report_bytes=args.report_bytes)
    services = [
        caller_flow.FlowSettings(name, address, args.host, args.ack_timeout_ms,
                                 args.answer_timeout_ms)
        for name, address in args.service
    ]
    fleet = caller_fleet.CallerFleet(
        services,
        caller_fleet.FleetSettings(args.flows, args.requests, args.duration_ms,
                                   args.ramp_ms, client, args.seed))
    fleet.start().addCallback(lambda _: reactor.stop())
    reactor.addSystemEventTrigger('before', 'shutdown', _write_records, fleet,
                                  args.out)
    http_service.run(flows=args.flows)


if __name__ == '__main__':
    main()
