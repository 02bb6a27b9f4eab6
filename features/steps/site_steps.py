"""Steps on agents, balancers and callers in virtual time."""

import collections

import aiocoap
import behave

from figdrum.agent import drain
from figdrum.core import states
from standins import doubles
from standins import world as world_lib

flow_of, coap = world_lib.flow_of, world_lib.coap
ZONES = ('muscat-a', 'muscat-b', 'sohar-a')
DID_NOT_RUN_PAYLOAD = states.Refusal.DID_NOT_RUN.value.encode()


def _send(context, number, data, address=world_lib.SERVICE_ADDRESS):
    """Sends through the live balancers in rotation."""
    context.datagrams_sent = getattr(context, 'datagrams_sent', 0) + 1
    live = [
        b for b in context.world.balancers.values()
        if b.address not in context.world.dead_balancers
    ]
    live[context.datagrams_sent % len(live)].send(flow_of(number, address),
                                                  data)


def _post(context, number, key, mid=1):
    _send(
        context, number,
        coap(aiocoap.POST,
             mid,
             token=key.encode(),
             uri_path=('visits',),
             uri_query=(f'key={key}',)))


def _answers(context, number):
    return context.world.answers(flow_of(number))


def _runs_by_key(context):
    return collections.Counter(run.key for run in context.world.runs())


def _start_times_ms(world, name, after_ms):
    return [
        at_ms for at_ms in world.targets[name].started_ms if at_ms > after_ms
    ]


@behave.given('the {mechanism} mechanism is disabled')
def step_disable(context, mechanism):
    context.add_cleanup(doubles.disable_mechanism(mechanism).close)


@behave.given('{count:d} agents with cold rate {cold:d} and full rate {full:d}')
def step_agents(context, count, cold, full):
    context.world = world = world_lib.World(cold_rate=cold,
                                            full_rate=full,
                                            slots=4,
                                            drain_ms=8000,
                                            linger_ms=2000)
    world.queues_while_paused = True
    for i in range(count):
        world.add(f'agent-{i}', ZONES[i % len(ZONES)])
        world.run(200)
    world.run(1500)
    for zone in ZONES:
        world.add_balancer(zone)


@behave.given('{count:d} agents')
def step_warm_agents(context, count):
    step_agents(context, count, 100, 200)


@behave.given(
    'each balancer receives lists {lag_ms:d} ms later than the one before')
def step_lag(context, lag_ms):
    for number, balancer in enumerate(context.world.balancers.values()):
        balancer.lag_ms = number * lag_ms


@behave.given('datagrams are delayed and duplicated')
def step_network(context):
    context.world.network = world_lib.Network(late=0.1, repeated=0.1)


@behave.given('{count:d} open feeds')
def step_feeds(context, count):
    context.feeds = range(count)
    for number in context.feeds:
        for _ in range(2):
            _send(context, number, coap(uri_path=('roster',), observe=0))
        context.world.run(30)
    context.world.run(3000)
    assert all(_answers(context, n) for n in context.feeds)


@behave.when('{seconds:d} seconds pass')
def step_advance_time(context, seconds):
    context.world.run(seconds * 1000)


@behave.when('agent {name} drains')
def step_drain(context, name):
    context.drained_ms = context.world.clock.now_ms()
    context.world.agents[name].start_drain()


@behave.when('agent {name} finishes draining and exits')
def step_exit(context, name):
    world = context.world
    for _ in range(400):
        if world.agents[name].drain.phase is drain.Phase.DONE:
            break
        world.run(100)
    world.agents[name].publish_leave()
    world.kill(name)
    world.run(3000)


@behave.when('agent {name} joins in {zone}')
def step_join(context, name, zone):
    context.world.add(name, zone)


@behave.when('agent {name} is killed')
def step_kill(context, name):
    context.world.kill(name)


@behave.when('agent {name} is paused')
def step_pause(context, name):
    context.world.paused.add(name)


@behave.when('agent {name} resumes')
def step_resume(context, name):
    context.world.paused.discard(name)


@behave.when('a balancer is killed')
def step_kill_balancer(context):
    context.world.dead_balancers.add(next(iter(context.world.balancers)))


@behave.when('the platform goes down')
def step_platform_down(context):
    context.world.db.down = True


@behave.when('each feed sends its request again')
def step_repeat_feeds(context):
    for number in context.feeds:
        _send(context, number, coap(mid=2, uri_path=('roster',), observe=0))
        context.world.run(30)


def _broken_feeds(context):
    world = context.world
    for target in world.targets.values():
        target.body = b'changed'
    # An unacknowledged notification is retransmitted for the first time after
    # up to 3 s, and the third retransmission waits up to 12 s (RFC 7252,
    # section 4.2).
    world.run(15_000)
    return [
        n for n in context.feeds if len(world.holder(flow_of(n))) != 1 or
        _answers(context, n)[-1].payload != b'changed'
    ] + ['counted'] * world.metrics.counters['agent.broken_flows']


@behave.then('no feed is broken')
def step_no_broken_feeds(context):
    assert not (found := _broken_feeds(context)), found


@behave.then('feeds are broken')
def step_broken_feeds(context):
    assert _broken_feeds(context)


@behave.when('an agent of another service takes the address of {name}')
def step_other_service(context, name):
    world = context.world
    address = world.address_of(name)
    # The changes give the other service's list a higher version than the
    # outdated list that the balancers still have.
    for number in range(6):
        world.add(f'desk-{number}', 'muscat-a', world_lib.OTHER_SERVICE)
        world.run(200)
    world.run(2000)
    world.kill(name)
    world.assign_address('desk-5', address)


@behave.when('{count:d} requests are sent to {service}')
def step_requests(context, count, service):
    address = {
        world_lib.SERVICE: world_lib.SERVICE_ADDRESS,
        world_lib.OTHER_SERVICE: world_lib.OTHER_ADDRESS
    }[service]
    for number in range(1000, 1000 + count):
        _send(context, number, coap(uri_path=('visits',)), address)
        context.world.run(20)
    context.world.run(500)


def _misrouted_requests(context):
    world = context.world
    return [
        run for name, target in world.targets.items() for run in target.runs
        if (run.service == world_lib.OTHER_SERVICE) != name.startswith('desk')
    ]


@behave.then('no request reached another service')
def step_right_service(context):
    assert not _misrouted_requests(context)
    assert context.world.runs()


@behave.then('requests reached another service')
def step_wrong_service(context):
    assert _misrouted_requests(context)


@behave.when('{count:d} requests per second are sent for {seconds:d} seconds')
def step_request_rate(context, count, seconds):
    number = context.next_flow = getattr(context, 'next_flow', 2000)
    for _ in range(count * seconds):
        _send(context, number, coap(uri_path=('visits',)))
        context.world.run(1000 // count)
        number += 1
    context.next_flow = number


@behave.when('the target of {name} becomes cold again')
def step_cold(context, name):
    target = context.world.targets[name]
    target.health = b'{"state": "cold"}'
    # The agent polls the health endpoint each second.
    context.world.run(1200)


@behave.then('{name} was never overloaded')
def step_no_overload(context, name):
    assert context.world.targets[name].runs
    assert not context.world.targets[name].warmth.collapses


@behave.then('{name} was overloaded')
def step_overload(context, name):
    assert context.world.targets[name].warmth.collapses


@behave.when('zone {zone} is taken out')
def step_zone_out(context, zone):
    context.world.set_contract(out=zone)
    context.zone_out = zone
    context.zone_out_ms = context.world.clock.now_ms()


@behave.when('zone {zone} is taken in')
def step_zone_in(context, zone):
    context.world.set_contract(back=zone)


def _starts_in_zone(context):
    """Returns when requests started in the removed zone, in ms, from 3 s on."""
    world = context.world
    return [
        at_ms for name, agent in world.agents.items()
        if agent.agent_state.zone == context.zone_out
        for at_ms in _start_times_ms(world, name, context.zone_out_ms + 3000)
    ]


@behave.then('no request started in the zone after 3 seconds')
def step_zone_empty(context):
    assert not _starts_in_zone(context)


@behave.then('requests started in the zone after 3 seconds')
def step_zone_used(context):
    assert _starts_in_zone(context)


@behave.when('two requests of one flow are answered in reverse order')
def step_reverse_answers(context):
    for target in context.world.targets.values():
        target.answer = lambda req: req.path.encode()
        target.delay = lambda req: 800 if 'slow' in req.path else 50
    # Callers send unanswered requests again; the interval between two rounds
    # is longer than an inquiry.
    for _ in range(3):
        for mid, path in enumerate(('slow', 'fast')):
            _send(context, 1,
                  coap(mid=mid, token=path.encode(), uri_path=(path,)))
            context.world.run(100)
        context.world.run(2500)


def _mismatched_answers(context):
    """Returns the answers whose payload belongs to another request."""
    found = [(m.token, m.payload) for m in _answers(context, 1) if m.payload]
    assert len({token for token, _ in found}) == 2, found
    return [pair for pair in found if pair[1] != b'/' + pair[0]]


@behave.then('each caller has its own answer')
def step_own_answer(context):
    assert not _mismatched_answers(context)


@behave.then('a caller has the answer of another request')
def step_other_answer(context):
    assert _mismatched_answers(context)


@behave.when(
    '{count:d} keys are sent {copies:d} times each from different flows')
def step_keys(context, count, copies):
    context.keys = [f'k{i}' for i in range(count)]
    for copy in range(copies):
        for number, key in enumerate(context.keys):
            _post(context, 5000 + copy * count + number, key)
            context.world.run(20)
        context.world.run(1000)


@behave.when('each key is sent again from its first flow')
def step_same_flow(context):
    for number, key in enumerate(context.keys):
        _post(context, 5000 + number, key)
        context.world.run(20)


@behave.when('the targets refuse all requests')
def step_refuse(context):
    for target in context.world.targets.values():
        target.did_not_run = True


@behave.when('the targets accept requests again')
def step_serve(context):
    for target in context.world.targets.values():
        target.did_not_run = False


@behave.when('requests take {delay_ms:d} ms')
def step_duration(context, delay_ms):
    for target in context.world.targets.values():
        target.delay_ms = delay_ms


def _false_refusals(context):
    ran = _runs_by_key(context)
    return [
        m.token
        for _, _, m in context.world.replies
        if m.payload == DID_NOT_RUN_PAYLOAD and ran[m.token.decode()]
    ]


@behave.then('no key ran twice')
def step_at_most_once(context):
    ran = _runs_by_key(context)
    assert ran and max(ran.values()) == 1, ran


@behave.then('keys ran twice')
def step_twice(context):
    assert max(_runs_by_key(context).values()) > 1


@behave.then('requests were refused and every did-not-run refusal is true')
def step_refused_truthfully(context):
    assert any(
        m.payload == DID_NOT_RUN_PAYLOAD for _, _, m in context.world.replies)
    assert not _false_refusals(context)


@behave.then('no did-not-run refusal is false')
def step_no_false_refusals(context):
    assert not _false_refusals(context)


@behave.then('some did-not-run refusals are false')
def step_false_refusals(context):
    assert _false_refusals(context)


def _starts_after_drain(context, name):
    return _start_times_ms(context.world, name, context.drained_ms + 3000)


@behave.then('{name} started no request after 3 seconds')
def step_no_starts(context, name):
    assert not _starts_after_drain(context, name)
    assert context.world.runs()


@behave.then('{name} started requests after 3 seconds')
def step_starts(context, name):
    assert _starts_after_drain(context, name)


def _unanswered_keys(context):
    answered = {
        m.token.decode()
        for _, _, m in context.world.replies
        if m.code is aiocoap.CHANGED
    }
    return set(_runs_by_key(context)) - answered


@behave.then('every request that ran was answered')
def step_answered(context):
    assert _runs_by_key(
        context) and not _unanswered_keys(context), _unanswered_keys(context)


@behave.then('some requests that ran were not answered')
def step_unanswered_keys(context):
    assert _unanswered_keys(context)


@behave.then('{percent:d} percent of the requests were answered')
def step_answered_share(context, percent):
    sent = context.next_flow - 2000
    served = sum(bool(_answers(context, 2000 + n)) for n in range(sent))
    context.served_percent = served * 100 / sent
    assert context.served_percent >= percent, context.served_percent


@behave.then('less than {percent:d} percent of the requests were answered')
def step_answered_share_below(context, percent):
    sent = context.next_flow - 2000
    served = sum(bool(_answers(context, 2000 + n)) for n in range(sent))
    assert served * 100 < percent * sent, served
