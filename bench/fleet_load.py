"""Load patterns of a simulated fleet, and the results of their requests."""

import attrs

__all__ = ["Fault", "Kind", "Moments", "Pattern", "Result", "Wave"]


@attrs.frozen
class Kind:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        service: Service that executes the requests.
        weight: Relative share of the clients' requests; 0 if only targets
            send them.
        work_s: Mean execution time, in seconds.
        spread: Standard deviation of the logarithm of the execution time.
        aim_s: Latency objective, in seconds.
        deadline_s: Time that clients wait, in seconds.
        priority: Priority, 0 is served first.
        worth: Worth of an answer within the latency objective.
        retries: Number of times that a client retries.
        calls: Calls made by an execution: name of the route, number of
            concurrent calls, and share of executions that make them.
    """

    name: str
    service: str
    weight: float
    work_s: float
    spread: float
    aim_s: float
    deadline_s: float
    priority: int
    worth: float = 1.0
    retries: int = 2
    calls: tuple[str, int, float] | None = None


@attrs.frozen
class Fault:
    """A temporary fault of a share of a service's targets.

    Attributes:
        service: The affected service.
        share: Share of its targets that are affected.
        at: Start time, in seconds.
        for_s: Duration, in seconds.
        slowdown: Factor applied to execution times.
        refused: Share of requests that the targets refuse without execution.
        limit_per_s: Rate limit that each of the targets names; None for none.
    """

    service: str
    share: float
    at: float
    for_s: float
    slowdown: float = 1.0
    refused: float = 0.0
    limit_per_s: float | None = None


@attrs.frozen
class Wave:
    """A periodic change of the clients' requests.

    Attributes:
        swing: Largest relative deviation from the mean rate.
        period_s: Time between two crests, in seconds.
    """

    swing: float
    period_s: float


@attrs.frozen
class Moments:
    """Short times for which targets are slow, drawn anew each time.

    Attributes:
        share: Share of the targets that are slow at a time.
        slowdown: Factor applied to their execution times.
        every_s: Duration, in seconds.
    """

    share: float
    slowdown: float
    every_s: float


@attrs.frozen
class Pattern:
    """An offered load and the fleet that serves it.

    Attributes:
        name: Name of the pattern.
        owners: Number of targets by service, in each data centre.
        slots: Slots of each target.
        speeds: Relative speeds, assigned to the targets in rotation.
        kinds: Kinds of request.
        rate: Total requests of clients per second.
        seconds: Duration, in seconds.
        data_centres: Number of data centres.
        faults: Faults injected during the run.
        wave: Change of the rate; None if it is constant.
        moments: Moments for which targets are slow, if any.
    """

    name: str
    owners: dict[str, int]
    slots: int
    speeds: tuple[float, ...]
    kinds: tuple[Kind, ...]
    rate: float
    seconds: float = 20.0
    data_centres: int = 3
    faults: tuple[Fault, ...] = ()
    wave: Wave | None = None
    moments: Moments | None = None


@attrs.define
class Result:
    """Results of the requests of one kind.

    Attributes:
        offered: Requests of clients, without their retries.
        in_time: Requests served within the latency objective.
        late: Requests served later.
        elapsed_s: Times from the first try to the answer, in seconds.
        cross_centre_attempts: Attempts sent to another data centre.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    elapsed_s: list[float] = attrs.field(factory=list)
    cross_centre_attempts: int = 0
