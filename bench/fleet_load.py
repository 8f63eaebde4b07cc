"""Loads of a simulated fleet, and how their requests end."""

import attrs

__all__ = ["Fault", "Kind", "Pattern", "Result"]


@attrs.frozen
class Kind:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        service: Service that executes them.
        weight: Part of the clients' requests; 0 if only targets send them.
        work_s: Mean time of an execution, in seconds.
        spread: Deviation of its logarithm.
        aim_s: Latency target, in seconds.
        deadline_s: Time for which clients wait, in seconds.
        priority: Order of service, 0 first.
        worth: Worth of an answer in time.
        retries: Times that a client comes back.
        calls: Requests that an execution makes: name of the route, how many
            at once, and the share of executions that make them.
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
    """What happens to a share of a service's targets.

    Attributes:
        service: The service.
        share: Share of its targets.
        at: Begin, in seconds.
        for_s: Length, in seconds.
        slowdown: Factor of the time of executions.
        refused: Share of requests that the targets refuse unexecuted.
    """

    service: str
    share: float
    at: float
    for_s: float
    slowdown: float = 1.0
    refused: float = 0.0


@attrs.frozen
class Pattern:
    """A load and the fleet that it meets.

    Attributes:
        name: Name of the pattern.
        owners: Targets of each service in each data centre.
        slots: Slots of a target.
        speeds: Speeds of targets, in turn.
        kinds: Kinds of request.
        rate: Requests a second of clients, in all.
        seconds: Length, in seconds.
        data_centres: Number of data centres.
        troubles: What goes wrong.
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


@attrs.define
class Result:
    """How the requests of one kind ended.

    Attributes:
        asked: Requests of clients, their returns not counted.
        in_time: Served within the latency target.
        late: Served later.
        elapsed_s: Times from the first try to the answer, in seconds.
        crossed: Attempts that went to another data centre.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    elapsed_s: list[float] = attrs.field(factory=list)
    cross_centre_attempts: int = 0
