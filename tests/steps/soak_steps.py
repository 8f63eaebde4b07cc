"""Steps that run the soak test with random faults from a seed."""

from behave import then

from soak.__main__ import run_seed


def check_seed(context, seed, vms, seconds, **options):
    violations = context.run(run_seed(seed, vms, seconds, **options))
    assert not violations, "\n".join(violations)


@then(
    "the soak of seed {seed:d} with {vms:d} VMs and {seconds:g} s of the"
    " earlier kinds of fault violates no guarantee"
)
def step_earlier_seed(context, seed, vms, seconds):
    check_seed(context, seed, vms, seconds, earlier_kinds=True)


@then(
    "the soak of seed {seed:d} with {vms:d} VMs, uploads and {seconds:g} s of"
    " faults violates no guarantee"
)
def step_uploads(context, seed, vms, seconds):
    check_seed(context, seed, vms, seconds, uploads=True)


@then(
    "the soak of seed {seed:d} with {vms:d} VMs, accounts and {seconds:g} s of"
    " faults violates no guarantee"
)
def step_accounts(context, seed, vms, seconds):
    check_seed(context, seed, vms, seconds, accounts=True)


@then(
    "the soak of seed {seed:d} with {vms:d} VMs and {seconds:g} s of faults"
    " violates no guarantee"
)
def step_seed(context, seed, vms, seconds):
    check_seed(context, seed, vms, seconds)


@then(
    "the soak of seed {seed:d} with {vms:d} VMs, stops and {seconds:g} s of"
    " faults violates no guarantee"
)
def step_stops(context, seed, vms, seconds):
    check_seed(context, seed, vms, seconds, stops=True)


@then(
    "the soak of seed {seed:d} with {vms:d} VMs, floods and {seconds:g} s of"
    " faults violates no guarantee"
)
def step_floods(context, seed, vms, seconds):
    check_seed(context, seed, vms, seconds, floods=True)


@then(
    "the soak of seed {seed:d} with {vms:d} VMs, departures and {seconds:g} s"
    " of faults violates no guarantee"
)
def step_departures(context, seed, vms, seconds):
    check_seed(context, seed, vms, seconds, departures=True)
