"""Runs one seed of the soak and prints its result as JSON."""

import json
import pathlib

from twisted.internet import reactor

from standins.soak import clients as clients_module
from standins.soak import deployment as deployment_module
from standins.soak import extra_faults as extra_faults_module
from standins.soak import faults as faults_module
from standins.soak import layout
from standins.soak import unreadable_inputs

CLIENTS = 24
FAULTS_START_S = 5.0
FAULTS_DURATION_S = 10.0

# Longest time from a fault's start to its end.
LONGEST_FAULT_S = faults_module.MAX_DURATION_S + max(
    faults_module.MIN_ZONE_OUT_S,
    layout.DRAIN_MS / 1_000 + faults_module.MAX_DRAIN_STAY_S)

# Time for which clients go on sending requests after the recovery deadline.
OBSERVATION_S = 4.0

# Duration of the burst of all classes after that, while no fault is active, and
# the time after it for the last requests. A slow server gets flows only while
# faster ones are busy: it must get some in the burst if that fills all slots.
BURST_S = 3.0
AFTER_BURST_S = clients_module.DEADLINE_S + 0.5

# Longest time that the process of a seed may take.
SEED_TIMEOUT_S = 180

# Share of the requests that must be served after the recovery. The requirements
# ask for a quarter; without faults all requests should be served except those
# that are shed.
MIN_SERVED_SHARE = 0.9


def run_seed(seed: int, network: int, directory: pathlib.Path, balancers: int,
             targets: int, fault_count: int, store_fault_count: int, *,
             extra_fault_count: int, judges_time: bool, disabled_mechanism: str,
             app: str, unreadable_count: int) -> int:
    """Runs a seed; returns 0 if no guarantee was violated, 1 otherwise.

    Args:
      seed: Seed of the random numbers that select the faults.
      network: Second byte of all loopback addresses.
      directory: Directory for the settings and logs of the processes.
      balancers: Number of balancers.
      targets: Number of targets, with an agent each.
      fault_count: Number of faults.
      store_fault_count: Number of store faults between two changes of the
        configuration, in addition.
      extra_fault_count: Number of faults of `extra_faults`, in addition. If it
        is not 0, routes state classes and servers have uneven speeds.
      judges_time: Whether urgent requests have to be answered within their
        latency target, and not only before their clients give up. A machine
        that is busy with other work delays the answers.
      disabled_mechanism: figdrum mechanism to switch off, or empty for none.
      app: Folder `target/app` of the build whose processes run; empty to run
        the sources, as with a mechanism off.
      unreadable_count: Number of heartbeats and of entries in the store that
        cannot be decoded.
    """
    deployment = deployment_module.Deployment(
        reactor,
        seed,
        network,
        directory,
        balancers,
        targets,
        CLIENTS,
        disabled_mechanism=disabled_mechanism,
        is_varied=extra_fault_count > 0,
        app=app)
    faults = extra_faults_module.ExtraFaults(deployment)
    recovered_s = FAULTS_START_S + FAULTS_DURATION_S + LONGEST_FAULT_S
    recovered_s += layout.RECOVERY_MS / 1_000
    observed_s = end_s = recovered_s + OBSERVATION_S
    times: dict[str, int] = {}
    deployment.start()
    deployment.watch_processes()
    faults.schedule(FAULTS_START_S, FAULTS_START_S + FAULTS_DURATION_S,
                    fault_count)
    faults.schedule_between_changes(seed, FAULTS_START_S,
                                    FAULTS_START_S + FAULTS_DURATION_S,
                                    store_fault_count)
    if extra_fault_count:
        faults.schedule_extra(seed, FAULTS_START_S,
                              FAULTS_START_S + FAULTS_DURATION_S,
                              extra_fault_count)
        for service in {client.service for client in deployment.clients}:
            reactor.callLater(observed_s, faults.burst, service, BURST_S)
        end_s += BURST_S + AFTER_BURST_S
    unreadable_inputs.UnreadableInputs(deployment, seed).schedule(
        FAULTS_START_S, FAULTS_START_S + FAULTS_DURATION_S, unreadable_count)
    reactor.callLater(
        recovered_s, lambda: times.setdefault('recovered', deployment.now_ms()))
    reactor.callLater(observed_s, deployment.check_unused_servers,
                      ('fieldbook', 'reportdesk'))
    reactor.callLater(end_s, reactor.stop)
    try:
        reactor.run()
    finally:
        deployment.end()
    if extra_fault_count:
        # The 8 clients of the other service do not fill its slots.
        deployment.check_unused_servers(('reportdesk',))
    observations = deployment.observations
    # Only the first half of the time counts, because requests of the last
    # seconds may still be waiting for their answers.
    share = observations.served_share(
        times['recovered'], times['recovered'] + int(OBSERVATION_S / 2 * 1_000))
    if share < MIN_SERVED_SHARE:
        observations.note_violation('recovery', deployment.now_ms(),
                                    f'served {share:.2f}')
    burst_ms = times['recovered'] + int(OBSERVATION_S * 1_000)
    _, limit_ms = deployment_module.CLASSES[deployment.urgent_address[1]]
    if not judges_time:
        limit_ms = int(clients_module.DEADLINE_S * 1_000)
    urgent_share = observations.urgent_share(burst_ms,
                                             burst_ms + int(BURST_S * 1_000),
                                             limit_ms)
    if extra_fault_count and urgent_share < MIN_SERVED_SHARE:
        observations.note_violation('urgent class', deployment.now_ms(),
                                    f'{urgent_share:.2f} in time in a burst')
    print(
        json.dumps({
            'seed':
                seed,
            'broken': [b._asdict() for b in observations.violations][:10],
            'outcomes':
                dict(observations.outcomes),
            'served_after':
                round(share, 3),
            'urgent_in_burst':
                round(urgent_share, 3),
            'store_calls':
                deployment.store.calls,
            'faults':
                faults.log if observations.violations else len(faults.log),
            'logs':
                str(directory) if observations.violations else ''
        }))
    return bool(observations.violations)
