"""Steps that run seeds of the fault soak."""

from behave import then

from soak.__main__ import run_seed


@then(
    "the soak of seed {seed:d} with {vms:d} VMs and {seconds:g} s of faults"
    " breaks no promise"
)
def step_seed(context, seed, vms, seconds):
    broken = context.run(run_seed(seed, vms, seconds))
    assert not broken, "\n".join(broken)
