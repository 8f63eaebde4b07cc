"""Steps with callers that open a connection for each request."""

import asyncio

from behave import then

from standins.fresh_callers import call_freshly

WARM_UP_S = 1.0


def start_fresh_callers(context, host, port, request):
    """Starts callers that open a connection for each request."""
    stopped = []
    context.add_cleanup(stopped.append, True)
    callers = call_freshly(host, port, request, lambda: bool(stopped))
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
