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
    "the soak of seed {seed:d} with {vms:d} VMs, {option:w} and {seconds:g} s"
    " of faults violates no guarantee"
)
def step_option(context, seed, vms, option, seconds):
    check_seed(context, seed, vms, seconds, **{option: True})


@then(
    "the soak of seed {seed:d} with {vms:d} VMs and {seconds:g} s of faults"
    " violates no guarantee"
)
def step_seed(context, seed, vms, seconds):
    check_seed(context, seed, vms, seconds)
