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
DID_NOT_RUN = states.Refusal.DID_NOT_RUN.value.encode()


def _send(context, number, data, address=world_lib.SERVICE_ADDRESS):
    """Sends by one balancer after the other."""
    context.turn = getattr(context, 'turn', 0) + 1
    live = [
        b for b in context.world.balancers.values()
        if b.address not in context.world.dead_balancers
    ]
    live[context.turn % len(live)].send(flow_of(number, address), data)


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


def _runs(context):
    return collections.Counter(run.key for run in context.world.runs())


def _started(world, name, after_ms):
    return [at for at in world.targets[name].started_ms if at > after_ms]


@behave.given('the site lacks {mechanism}')
def step_lacks(context, mechanism):
    context.add_cleanup(doubles.left_out(mechanism).close)


@behave.given('{count:d} agents at cold rate {cold:d} and full rate {full:d}')
def step_agents(context, count, cold, full):
    context.world = world = world_lib.World(cold_rate=cold,
                                            full_rate=full,
                                            slots=4,
                                            drain_ms=8000,
                                            linger_ms=2000)
    world.queueing = True
    for i in range(count):
        world.add(f'agent-{i}', ZONES[i % len(ZONES)])
        world.run(200)
    world.run(1500)
    for zone in ZONES:
        world.add_balancer(zone)


@behave.given('{count:d} agents')
def step_warm_agents(context, count):
    step_agents(context, count, 100, 200)


@behave.given('lists reach the balancers {lag_ms:d} ms apart')
def step_uneven(context, lag_ms):
    for number, balancer in enumerate(context.world.balancers.values()):
        balancer.lag_ms = number * lag_ms


@behave.given('datagrams are late and repeated')
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
def step_pass(context, seconds):
    context.world.run(seconds * 1000)


@behave.when('agent {name} drains')
def step_drain(context, name):
    context.drained_ms = context.world.clock.now_ms()
    context.world.agents[name].start_drain()


@behave.when('agent {name} has left')
def step_left(context, name):
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


@behave.when('agent {name} wakes')
def step_wake(context, name):
    context.world.paused.discard(name)


@behave.when('a balancer is killed')
def step_kill_balancer(context):
    context.world.dead_balancers.add(next(iter(context.world.balancers)))


@behave.when('the platform goes down')
def step_down(context):
    context.world.db.down = True


@behave.when('each feed asks again')
def step_again(context):
    for number in context.feeds:
        _send(context, number, coap(mid=2, uri_path=('roster',), observe=0))
        context.world.run(30)


def _broken(context):
    world = context.world
    for target in world.targets.values():
        target.body = b'changed'
    # The first repetition of an unacknowledged notification takes up to 3 s
    # and the third 12 s (RFC 7252, section 4.2).
    world.run(15_000)
    return [
        n for n in context.feeds if len(world.holder(flow_of(n))) != 1 or
        _answers(context, n)[-1].payload != b'changed'
    ] + ['counted'] * world.metrics.counters['agent.broken_flows']


@behave.then('no feed is broken')
def step_no_broken(context):
    assert not (found := _broken(context)), found


@behave.then('feeds are broken')
def step_broken(context):
    assert _broken(context)


@behave.when('an agent of another service takes the address of {name}')
def step_other_service(context, name):
    world = context.world
    address = world.address_of(name)
    # The list of the other service gets a higher version than the late one.
    for number in range(6):
        world.add(f'desk-{number}', 'muscat-a', world_lib.OTHER_SERVICE)
        world.run(200)
    world.run(2000)
    world.kill(name)
    world.take_address('desk-5', address)


@behave.when('{count:d} requests come for {service}')
def step_requests(context, count, service):
    address = {
        world_lib.SERVICE: world_lib.SERVICE_ADDRESS,
        world_lib.OTHER_SERVICE: world_lib.OTHER_ADDRESS
    }[service]
    for number in range(1000, 1000 + count):
        _send(context, number, coap(uri_path=('visits',)), address)
        context.world.run(20)
    context.world.run(500)


def _misrouted(context):
    world = context.world
    return [
        run for name, target in world.targets.items() for run in target.runs
        if (run.service == world_lib.OTHER_SERVICE) != name.startswith('desk')
    ]


@behave.then('no request reached another service')
def step_right_service(context):
    assert not _misrouted(context)
    assert context.world.runs()


@behave.then('requests reached another service')
def step_wrong_service(context):
    assert _misrouted(context)


@behave.when('{count:d} requests a second come for {seconds:d} seconds')
def step_load(context, count, seconds):
    number = context.load = getattr(context, 'load', 2000)
    for _ in range(count * seconds):
        _send(context, number, coap(uri_path=('visits',)))
        context.world.run(1000 // count)
        number += 1
    context.load = number


@behave.when('the target of {name} is cold again')
def step_cold(context, name):
    target = context.world.targets[name]
    target.health = b'{"state": "cold"}'
    # One poll of the health endpoint, each second.
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
    context.out = zone
    context.out_ms = context.world.clock.now_ms()


@behave.when('zone {zone} is taken in')
def step_zone_in(context, zone):
    context.world.set_contract(back=zone)


def _in_zone(context):
    """Returns the requests that ran in the zone after 3 s."""
    world = context.world
    return [
        at for name, agent in world.agents.items()
        if agent.agent_state.zone == context.out
        for at in _started(world, name, context.out_ms + 3000)
    ]


@behave.then('nothing ran in the zone after 3 seconds')
def step_zone_empty(context):
    assert not _in_zone(context)


@behave.then('requests ran in the zone after 3 seconds')
def step_zone_used(context):
    assert _in_zone(context)


@behave.when('two requests of one flow are answered in reverse order')
def step_reverse(context):
    for target in context.world.targets.values():
        target.answer = lambda req: req.path.encode()
        target.delay = lambda req: 800 if 'slow' in req.path else 50
    # Callers repeat what is not answered; the interval outlives an inquiry.
    for _ in range(3):
        for mid, path in enumerate(('slow', 'fast')):
            _send(context, 1,
                  coap(mid=mid, token=path.encode(), uri_path=(path,)))
            context.world.run(100)
        context.world.run(2500)


def _mixed(context):
    """Returns the answers that are not those of their own request."""
    found = [(m.token, m.payload) for m in _answers(context, 1) if m.payload]
    assert len({token for token, _ in found}) == 2, found
    return [pair for pair in found if pair[1] != b'/' + pair[0]]


@behave.then('each caller has its own answer')
def step_own_answer(context):
    assert not _mixed(context)


@behave.then('a caller has the answer of another request')
def step_other_answer(context):
    assert _mixed(context)


@behave.when('{count:d} keys are sent {copies:d} times each by other flows')
def step_keys(context, count, copies):
    context.keys = [f'k{i}' for i in range(count)]
    for copy in range(copies):
        for number, key in enumerate(context.keys):
            _post(context, 5000 + copy * count + number, key)
            context.world.run(20)
        context.world.run(1000)


@behave.when('each key is sent again by its flow')
def step_same_flow(context):
    for number, key in enumerate(context.keys):
        _post(context, 5000 + number, key)
        context.world.run(20)


@behave.when('the targets refuse what they get')
def step_refuse(context):
    for target in context.world.targets.values():
        target.did_not_run = True


@behave.when('the targets serve again')
def step_serve(context):
    for target in context.world.targets.values():
        target.did_not_run = False


@behave.when('requests take {delay_ms:d} ms')
def step_slow(context, delay_ms):
    for target in context.world.targets.values():
        target.delay_ms = delay_ms


def _false_refusals(context):
    ran = _runs(context)
    return [
        m.token
        for _, _, m in context.world.replies
        if m.payload == DID_NOT_RUN and ran[m.token.decode()]
    ]


@behave.then('no key ran twice')
def step_once(context):
    ran = _runs(context)
    assert ran and max(ran.values()) == 1, ran


@behave.then('keys ran twice')
def step_twice(context):
    assert max(_runs(context).values()) > 1


@behave.then('requests were refused and every refusal is true')
def step_true(context):
    assert any(m.payload == DID_NOT_RUN for _, _, m in context.world.replies)
    assert not _false_refusals(context)


@behave.then('no refusal is false')
def step_no_false(context):
    assert not _false_refusals(context)


@behave.then('refusals are false')
def step_false(context):
    assert _false_refusals(context)


def _late_work(context, name):
    return _started(context.world, name, context.drained_ms + 3000)


@behave.then('{name} got no new work after 3 seconds')
def step_no_work(context, name):
    assert not _late_work(context, name)
    assert context.world.runs()


@behave.then('{name} got new work after 3 seconds')
def step_work(context, name):
    assert _late_work(context, name)


def _cut(context):
    answered = {
        m.token.decode()
        for _, _, m in context.world.replies
        if m.code is aiocoap.CHANGED
    }
    return set(_runs(context)) - answered


@behave.then('every request that ran was answered')
def step_answered(context):
    assert _runs(context) and not _cut(context), _cut(context)


@behave.then('requests that ran have no answer')
def step_cut(context):
    assert _cut(context)


@behave.then('{share:d} percent of the requests were answered')
def step_served(context, share):
    sent = context.load - 2000
    served = sum(bool(_answers(context, 2000 + n)) for n in range(sent))
    context.served = served * 100 / sent
    assert context.served >= share, context.served


@behave.then('less than {share:d} percent of the requests were answered')
def step_not_served(context, share):
    sent = context.load - 2000
    served = sum(bool(_answers(context, 2000 + n)) for n in range(sent))
    assert served * 100 < share * sent, served
