"""Stand beside one upstream: gate starts, run tasks, remember what was started."""

from currantbarrow.side.node import SideNode, SideOptions

__all__ = ["SideNode", "SideOptions"]
