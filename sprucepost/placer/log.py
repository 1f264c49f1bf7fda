"""Structured logs on standard error: each kind of event has its own name."""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from sprucepost.loop import Loop

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


class Logs:
    """The daemon's logger, whose level can change at run time.

    ``log_format``: ``json``, or anything else for key=value lines. ``bound_fields`` go into each line.
    """

    def __init__(self, loop: Loop, level: str, log_format: str, **bound_fields: Any) -> None:
        self.level = level

        def add_time_and_level(_: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
            return {"at_ms": round(loop.wall(), 1), "level": method, **event}

        def filter_by_level(_: Any, method: str, event: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
            if LEVELS.get(method, logging.INFO) < LEVELS[self.level]:
                raise structlog.DropEvent
            return event

        renderer: Any = (
            structlog.processors.JSONRenderer() if log_format == "json" else structlog.processors.KeyValueRenderer()
        )
        self.log = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[filter_by_level, add_time_and_level, renderer],
            wrapper_class=structlog.BoundLogger,
        ).bind(**bound_fields)

    def toggle_debug(self) -> str:
        """Switch between debug and info, and return the new level."""
        self.level = "info" if self.level == "debug" else "debug"
        return self.level
