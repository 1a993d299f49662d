"""Log event of a node for settings that have changed in their file."""

from dataclasses import fields
from pathlib import Path

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_node.logs import log_event
from sassafraswinch_node.settings import Settings, load_settings


def log_settings_changes(settings: Settings, *, path: Path) -> None:
    """Log which settings changed in the file; they take effect on a restart only.

    Args:
        settings: the settings in force.
        path: the settings file.
    """
    try:
        new_settings = load_settings(path)
    except InvalidFieldsError as group:
        reason = "; ".join(str(error) for error in group.exceptions)
        log_event("settings_unreadable", level="error", reason=reason)
        return
    changed = [
        field.name
        for field in fields(settings)
        if getattr(new_settings, field.name) != getattr(settings, field.name)
    ]
    log_event(
        "settings_read",
        level="warning",
        changed=",".join(changed) or "none",
        restart_needed=bool(changed),
    )
