"""What bounds the attempts beyond the first ones of calls, over the fleet."""

from typing import NamedTuple

from merlintrail.node.calling._repeat_grants import RepeatGrants
from merlintrail.state import Configuration
from merlintrail.state.repeats import RepeatAllowances, RepeatBase


class RepeatLimits(NamedTuple):
    """Both parts of the bound, as far as this node decides on them."""

    #: Shares of the first attempts at the backend servers beside this node.
    allowances: RepeatAllowances
    #: The part of the base that this node holds.
    base: RepeatBase
    #: Gives out and obtains repeats against the base.
    grants: RepeatGrants

    def configure(self, configuration: Configuration) -> None:
        """Apply the bound of a configuration."""
        settings = configuration.retry_budget
        self.allowances.configure(settings.share, settings.window_s)
        self.base.configure(
            settings.base, settings.window_s, configuration.regions
        )
