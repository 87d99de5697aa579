"""Hold the classes of work that operators create."""

from currantbarrow.classes.change import change_class, change_record_id
from currantbarrow.classes.state import ClassRevision, ClassState

__all__ = ["ClassRevision", "ClassState", "change_class", "change_record_id"]
