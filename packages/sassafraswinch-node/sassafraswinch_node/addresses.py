"""Addresses in the form ``ip:port``, as they stand in the settings."""

from dataclasses import dataclass

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP address and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    Raises:
        ValueError: if ``text`` has another form or the port is out of range.
    """
    ip, separator, port = text.rpartition(":")
    if not separator or not ip:
        raise ValueError("expected ip:port")
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"port {port!r} is not a number from 0 to {MAX_PORT}")
    return Address(ip=ip.strip("[]"), port=int(port))
