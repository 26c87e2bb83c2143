"""The check of the rule "Fault": processes that end by themselves."""

from typing import Final

from review.common import deployment

#: Machines on which processes end: a tenth of those in use, two at least.
MIN_MACHINES: Final = 2
#: Ends of one machine's processes in the day.
MIN_ENDS: Final = 3


def is_rule_broken(system: deployment.Deployment) -> bool:
    """Returns whether too many processes ended by themselves."""
    record = system.record
    for daemon in system.daemons:
        record.write(
            f"{daemon.role} {daemon.ip}: {daemon.own_ends} ends by itself; "
            f"last error: {system.last_error(daemon) or 'none'}"
        )
    machines = [d for d in system.daemons if d.own_ends >= MIN_ENDS]
    return len(machines) >= MIN_MACHINES
