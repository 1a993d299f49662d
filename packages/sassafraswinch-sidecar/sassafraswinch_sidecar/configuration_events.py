"""Log events of a sidecar for changed settings and invalid platform data."""

from collections.abc import Callable

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.sidecar_settings import SidecarSettings


def log_settings_changes(
    settings: SidecarSettings, load_settings: Callable[[], SidecarSettings]
) -> None:
    """Log which settings changed in the file; they take effect on a restart only.

    Args:
        settings: the settings in force.
        load_settings: reads the settings file again.
    """
    try:
        new_settings = load_settings()
    except (OSError, InvalidFieldsError) as error:
        log_event("settings_unreadable", level="error", reason=str(error))
        return
    changed = [
        field
        for field in SidecarSettings.__struct_fields__
        if getattr(new_settings, field) != getattr(settings, field)
    ]
    log_event("settings_read", level="warning", changed=",".join(changed) or "none")


def log_platform_faults(errors: InvalidFieldsError) -> None:
    """Log the invalid fields of an item of platform data."""
    for error in errors.exceptions:
        log_event(
            "platform_data_invalid",
            level="error",
            source=error.source,
            field=error.field,
            reason=error.reason,
        )
