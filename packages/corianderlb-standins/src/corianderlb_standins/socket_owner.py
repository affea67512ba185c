"""Find the process at the other end of a connection on this machine.

Processes on loopback share an address, so that a stand-in can tell its callers apart
only by their sockets. The kernel is asked for one socket by its ports
(``sock_diag(7)``): to read all of them takes long on a machine with many closed
connections.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterable
from typing import Final

NETLINK_SOCK_DIAG: Final = 4
SOCK_DIAG_BY_FAMILY: Final = 20
NLM_F_REQUEST: Final = 1
ALL_STATES: Final = 0xFFFFFFFF
NO_COOKIE: Final = 0xFFFFFFFF

HEADER: Final = struct.Struct("=IHHII")
"""``nlmsghdr``: length, type, flags, sequence number, port."""

QUERY: Final = struct.Struct("=BBBxI")
"""Begin of ``inet_diag_req_v2``: family, protocol, extensions, states."""

SOCKET_ID: Final = struct.Struct("=2s2s16s16sIII")
"""``inet_diag_sockid``: ports, addresses, interface, cookie."""

INODE_AT: Final = HEADER.size + 4 + SOCKET_ID.size + 16
"""Offset of the inode in an answer, behind ``inet_diag_msg``'s other fields."""

LOOPBACK: Final = socket.inet_aton("127.0.0.1").ljust(16, b"\0")


def owner_of(port: int, remote_port: int, pids: Iterable[int]) -> int | None:
    """Return which of some processes has the socket on ``port``, or None.

    ``remote_port`` is the port that the socket is connected to; both are on 127.0.0.1.
    """
    inode = _inode(port, remote_port)
    if not inode:
        return None
    wanted = f"socket:[{inode}]"
    return next((pid for pid in pids if wanted in _open_files(pid)), None)


def _inode(port: int, remote_port: int) -> int:
    """Return the inode of a connected socket; 0 if it is closed."""
    query = QUERY.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, ALL_STATES)
    ports = (port.to_bytes(2), remote_port.to_bytes(2))
    query += SOCKET_ID.pack(*ports, LOOPBACK, LOOPBACK, 0, NO_COOKIE, NO_COOKIE)
    length = HEADER.size + len(query)
    header = HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        sock.send(header + query)
        answer = sock.recv(4096)
    if HEADER.unpack_from(answer)[1] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_AT)[0]


def _open_files(pid: int) -> set[str]:
    folder = f"/proc/{pid}/fd"
    found = set()
    try:
        for name in os.listdir(folder):
            try:
                found.add(os.readlink(f"{folder}/{name}"))
            except OSError:
                # Closed meanwhile.
                continue
    except OSError:
        # The process has ended.
        return set()
    return found
