"""One seed of the soak."""

import json
import pathlib

from twisted.internet import reactor

from standins.soak import faults as faults_module
from standins.soak import layout
from standins.soak import site as site_module

CLIENTS = 24
START_S = 5.0
FAULTS_S = 10.0

# Requests are asked until this time after the last recovery has to be over.
AFTER_S = 4.0

# Longest time that a seed may take, in s.
LIMIT_S = 180

# Share of the requests that is served after the recovery. The users' page asks
# for a quarter; without faults all are to be served but those shed.
SERVED_SHARE = 0.9


def play(seed: int, network: int, directory: pathlib.Path, balancers: int,
         targets: int, count: int, without: str) -> int:
    """Runs a seed; returns 0 if no promise was broken.

    Args:
      seed: What the faults are drawn from.
      network: Second number of all loopback addresses.
      directory: Where settings and logs of the processes go.
      balancers: Number of balancers.
      targets: Number of targets, with an agent each.
      count: Number of faults.
      without: Mechanism of figdrum that is switched off, empty for none.
    """
    site = site_module.Site(reactor, seed, network, directory, balancers,
                            targets, CLIENTS, without)
    faults = faults_module.Faults(site)
    longest_s = faults_module.LONGEST_S + max(
        faults_module.LEAST_ZONE_OUT_S,
        layout.DRAIN_MS / 1_000 + faults_module.LONGEST_DRAIN_S)
    recovered_s = START_S + FAULTS_S + longest_s
    recovered_s += layout.RECOVERY_MS / 1_000
    end_s = recovered_s + AFTER_S
    times: dict[str, int] = {}
    site.start()
    site.watch_processes()
    faults.schedule(START_S, START_S + FAULTS_S, count)
    reactor.callLater(recovered_s,
                      lambda: times.setdefault('recovered', site.now_ms()))
    reactor.callLater(end_s, reactor.stop)
    try:
        reactor.run()
    finally:
        site.end()
    site.note_unused_servers()
    ledger = site.ledger
    # Requests of the last seconds may still wait for their answers.
    share = ledger.served_share(times['recovered'],
                                times['recovered'] + int(AFTER_S / 2 * 1_000))
    if share < SERVED_SHARE:
        ledger.note_broken('recovery', site.now_ms(), f'served {share:.2f}')
    print(
        json.dumps({
            'seed': seed,
            'broken': [b._asdict() for b in ledger.broken][:10],
            'outcomes': dict(ledger.outcomes),
            'served_after': round(share, 3),
            'store_calls': site.store.calls,
            'faults': faults.log if ledger.broken else len(faults.log),
            'logs': str(directory) if ledger.broken else ''
        }))
    return bool(ledger.broken)
