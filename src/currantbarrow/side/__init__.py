"""Run tasks on one upstream, and record every task that was started there."""

from currantbarrow.side.node import SideNode, SideOptions

__all__ = ["SideNode", "SideOptions"]
