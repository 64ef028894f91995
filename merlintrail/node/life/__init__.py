"""Start, stop and membership of a node."""

from merlintrail.node.life._joiner import Joiner, JoinerDependencies
from merlintrail.node.life._lifecycle import Lifecycle, LifecycleDependencies

__all__ = (
    'Joiner',
    'JoinerDependencies',
    'Lifecycle',
    'LifecycleDependencies',
)
