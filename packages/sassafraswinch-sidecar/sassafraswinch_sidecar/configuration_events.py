"""Log lines about settings that changed and platform data that can't be read."""

from collections.abc import Callable

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.sidecar_settings import SidecarSettings


def log_settings_changes(
    settings: SidecarSettings, load_settings: Callable[[], SidecarSettings]
) -> None:
    """Say what changed in the settings; a sidecar takes them at its start only.

    Args:
        settings: those in force.
        load_settings: reads them again.
    """
    try:
        read = load_settings()
    except (OSError, InvalidFieldsError) as error:
        log_event("settings_unreadable", level="error", reason=str(error))
        return
    changed = [
        field
        for field in SidecarSettings.__struct_fields__
        if getattr(read, field) != getattr(settings, field)
    ]
    log_event("settings_read", level="warning", changed=",".join(changed) or "none")


def log_platform_faults(group: InvalidFieldsError) -> None:
    """Say which fields of an item of the platform can't be read."""
    for error in group.exceptions:
        log_event(
            "platform_data_invalid",
            level="error",
            source=error.source,
            field=error.field,
            reason=error.reason,
        )
