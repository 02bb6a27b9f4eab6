"""Steps on the order of a service's back ends."""

import behave

from figdrum.routing import rendezvous

FLOWS = [f'flow {i}'.encode() for i in range(200)]


@behave.given('a service with {count:d} back ends')
def step_service(context, count):
    context.names = [f'fieldbook-{i}' for i in range(count)]


@behave.when('an eighth back end joins')
def step_join(context):
    context.joined = 'fieldbook-new'


@behave.then('the first choice of a flow changes only to the eighth')
def step_first_choice(context):
    for flow in FLOWS:
        before = rendezvous.order(flow, context.names)[0]
        after = rendezvous.order(flow, context.names + [context.joined])[0]
        assert after in (before, context.joined), (flow, before, after)
