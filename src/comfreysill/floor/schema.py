"""Schema of the floor document, version 1."""

_NAME = {
    "type": "string",
    "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$",
    "description": "up to 63 letters, digits, dots, dashes and underscores",
}
_KEYS = {
    "type": "array",
    "minItems": 1,
    "items": {"type": "string", "pattern": "^blake2b:[0-9a-f]{32}:[0-9a-f]{64}$"},
    "description": "salted hashes, as `comfreysill key new` prints them",
}
_COUNT = {"type": "integer", "minimum": 1, "maximum": 10_000_000}
FLOOR_SCHEMA = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "comfreysill floor document",
    "type": "object",
    "additionalProperties": False,
    "required": ["schema", "zones", "services", "teams"],
    "properties": {
        "schema": {"const": 1, "description": "version of this schema, 1"},
        "zones": {
            "type": "array",
            "minItems": 1,
            "uniqueItems": True,
            "items": _NAME,
            "description": "availability zones",
        },
        "services": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "zones"],
                "properties": {
                    "name": _NAME,
                    "zones": {"type": "array", "minItems": 1, "items": _NAME},
                    "max_run_time": {
                        "type": "number",
                        "exclusiveMinimum": 0,
                        "maximum": 3600,
                        "description": "longest declared run time of a task in seconds",
                    },
                },
            },
        },
        "teams": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name"],
                "properties": {
                    "name": _NAME,
                    "weight": {
                        "type": "number",
                        "exclusiveMinimum": 0,
                        "maximum": 1000,
                        "description": "share of the floor against other teams, 1 by default",
                    },
                    "queued_tasks": {
                        **_COUNT,
                        "description": "tasks that may wait at one entry",
                    },
                    "services": {"type": "array", "minItems": 1, "items": _NAME},
                    "keys": _KEYS,
                },
            },
        },
        "operators": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "keys"],
                "properties": {"name": _NAME, "keys": _KEYS},
            },
        },
        "limits": {
            "type": "object",
            "additionalProperties": False,
            "properties": {
                "jobs": {**_COUNT, "description": "jobs kept at one entry"},
                "queued_tasks": {**_COUNT, "description": "tasks that wait at one entry"},
                "tasks_per_job": {**_COUNT, "maximum": 2000},
                "queue_share": {
                    "type": "number",
                    "minimum": 0,
                    "maximum": 4,
                    "description": "normal and bulk tasks queued at a target, a share of its slots",
                },
            },
        },
    },
}
