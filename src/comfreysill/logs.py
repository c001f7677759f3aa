"""Logging of the daemon `comfreysilld` to standard error, as text or JSON."""

import logging

from pythonjsonlogger.json import JsonFormatter

_TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
_JSON_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(log_format: str, level: str) -> None:
    """Configures logging to standard error.

    Args:
        log_format: `text` or `json`.
        level: Name of the minimum level.
    """
    handler = logging.StreamHandler()
    if log_format == "json":
        handler.setFormatter(JsonFormatter(_JSON_FORMAT))
    else:
        handler.setFormatter(logging.Formatter(_TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("uvicorn.access").disabled = True
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)
