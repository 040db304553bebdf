"""Settings, keys and envelopes shared by several tests."""

import copy
import json
from pathlib import Path
from typing import Any

from amaranthbend.core.envelope import (
    ManifestEntry,
    SettingsEnvelope,
    Signature,
    compute_digest,
)
from amaranthbend.settings.approvals import ApproverKey, create_key, sign_envelope

MERGED: dict[str, Any] = {
    "deployment": "eeslikoda",
    "services": {"adopt-desk": {"slots_per_upstream": 6, "limits": {"long_after_ms": 500}}},
    "routes": {
        "profiles": {
            "path_prefix": "/donkeys/",
            "methods": ["GET", "HEAD"],
            "service": "adopt-desk",
            "deadline_ms": 2500,
        }
    },
}

KEYS: list[ApproverKey] = [create_key(f"legal-{number}").unwrap() for number in range(3)]
APPROVER_KEYS = {key.key_id: key.public_key for key in KEYS[:2]}


def make_merged(**changes: Any) -> dict[str, Any]:
    """Return valid merged settings with the given top-level values replaced."""
    return {**copy.deepcopy(MERGED), **changes}


def make_envelope(
    serial: int = 1,
    base: str = "",
    merged: dict[str, Any] | None = None,
    keys: list[ApproverKey] | None = None,
) -> SettingsEnvelope:
    """Return an envelope signed by the given keys, by default those of two approvers."""
    merged = make_merged() if merged is None else merged
    manifest = (ManifestEntry("10-base.jsonc", "0" * 64),)
    envelope = SettingsEnvelope(
        merged.get("deployment", "eeslikoda"),
        serial,
        base,
        compute_digest(manifest, merged),
        manifest,
        merged,
        (),
    )
    signatures: list[Signature] = [
        sign_envelope(envelope, key) for key in (KEYS[:2] if keys is None else keys)
    ]
    return envelope._replace(signatures=tuple(signatures))


def write_folder(folder: Path, merged: dict[str, Any] | None = None) -> None:
    """Write valid settings as one file for each top-level key."""
    merged = make_merged() if merged is None else merged
    for index, (name, value) in enumerate(merged.items()):
        path = folder / f"{index}0-{name}.jsonc"
        path.write_text(f"// {name}\n" + json.dumps({name: value}))


def write_operator_settings(path: Path, platform_url: str, folder: str = "settings") -> None:
    """Write operator settings with the two approvers of `APPROVER_KEYS`."""
    settings = {
        "deployment": "eeslikoda",
        "folder": folder,
        "platform_url": platform_url,
        "approver_keys": APPROVER_KEYS,
        "required_approvals": 2,
        "watch_interval_ms": 100,
    }
    path.write_text(json.dumps(settings))
