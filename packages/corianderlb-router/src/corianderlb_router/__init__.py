"""The router process: tasks that own their sockets and state and talk by messages."""

from __future__ import annotations
