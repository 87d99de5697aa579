"""Classes of work, as created and changed by operators."""

from currantbarrow.classes.change import change_class, change_record_id
from currantbarrow.classes.state import ClassRevision, ClassState

__all__ = ["ClassRevision", "ClassState", "change_class", "change_record_id"]
