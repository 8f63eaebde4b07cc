"""Steps with callers that open a connection for each request."""

import asyncio

from behave import then

from standins.connection_per_request import send_on_new_connections

WARM_UP_S = 1.0


def start_fresh_callers(context, host, port, request):
    """Starts callers that open a connection for each request."""
    stopped = []
    context.add_cleanup(stopped.append, True)
    callers = send_on_new_connections(
        host, port, request, lambda: bool(stopped)
    )
    context.fresh = (
        stopped,
        asyncio.run_coroutine_threadsafe(callers, context.loop),
    )
    context.run(asyncio.sleep(WARM_UP_S))


@then("every call was answered, or refused when it connected")
def step_fresh_answered(context):
    stopped, callers = context.fresh
    stopped.append(True)
    counts = callers.result()
    assert counts["answered"] and counts["refused"] and not counts["cut"], (
        counts
    )
