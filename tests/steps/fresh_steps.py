"""Steps with callers that open a connection for each request."""

import asyncio

from behave import then

from standins.connection_per_request import send_on_new_connections

WARM_UP_S = 1.0


def start_fresh_callers(context, host, port, request):
    """Starts callers that open a connection for each request."""
    over = []
    context.add_cleanup(over.append, True)
    callers = send_on_new_connections(host, port, request, lambda: bool(over))
    context.fresh = (
        over,
        asyncio.run_coroutine_threadsafe(callers, context.loop),
    )
    context.run(asyncio.sleep(WARM_UP_S))


@then("every call was answered, or turned away when it connected")
def step_fresh_answered(context):
    over, callers = context.fresh
    over.append(True)
    seen = callers.result()
    assert seen["answered"] and seen["refused"] and not seen["cut"], seen
