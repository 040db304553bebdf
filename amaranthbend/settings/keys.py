"""Schema of a deployment's settings: type, unit, range and meaning of each key."""

from .schema import (
    NAME_PATTERN,
    NAME_PATTERN_DESCRIPTION,
    Choice,
    ChoiceList,
    Flag,
    NamedSections,
    Number,
    Section,
    Text,
    Unit,
)

__all__ = ["DEPLOYMENT_SECTION"]

GIBIBYTE = 1024 * 1024 * 1024
HOUR_MS = 3_600_000
YEAR_S = 31_536_000
PREFIX_PATTERN = "/[!-~]*"
PREFIX_PATTERN_DESCRIPTION = "a path that starts with / and has no spaces"

RETRIES = Section(
    "Limits on repeated attempts.",
    {
        "ratio": Number("Retries as a share of first attempts.", 0, 1, Unit.SHARE, whole=False),
        "floor_per_s": Number(
            "Retries that are always allowed.", 0, 10_000, Unit.PER_SECOND, whole=False
        ),
        "max_attempts": Number("Attempts of one request, the first included.", 1, 10),
    },
)

LIMITS = Section(
    "Limits on queued and running work in one entry process.",
    {
        "queue_length": Number("Requests that wait.", 0, 1_000_000),
        "queue_bytes": Number("Bytes of bodies that wait.", 0, GIBIBYTE, Unit.BYTES),
        "long_share": Number(
            "Share of slots and connections that long work may take.",
            0,
            1,
            Unit.SHARE,
            whole=False,
        ),
        "long_after_ms": Number(
            "Running time after which a request counts as long.", 1, HOUR_MS, Unit.MILLISECONDS
        ),
    },
)

SERVICE = Section(
    "A group of upstreams, under its name in the host list.",
    {
        "slots_per_upstream": Number(
            "Requests that one upstream runs at a time.", 1, 10_000, required=True
        ),
        "connections_per_upstream": Number(
            "Connections to one upstream, over all entry processes.", 1, 100_000
        ),
        "retries": RETRIES,
        "limits": LIMITS,
    },
)

METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")

ROUTE = Section(
    "Requests that one service serves, under a name of your choice.",
    {
        "path_prefix": Text(
            "Paths that start with it match; the longest prefix wins.",
            PREFIX_PATTERN,
            PREFIX_PATTERN_DESCRIPTION,
            required=True,
        ),
        "methods": ChoiceList("Methods that match.", METHODS, required=True),
        "service": Text(
            "Service that serves it.", NAME_PATTERN, NAME_PATTERN_DESCRIPTION, required=True
        ),
        "idempotent": Flag("Whether a request may run more than once."),
        "work_class": Choice("Expected length of the work.", ("short", "long")),
        "deadline_ms": Number(
            "Longest wait for the start of the response.", 1, HOUR_MS, Unit.MILLISECONDS
        ),
        "priority": Number("Higher values leave the queue first.", -100, 100),
        "claim": Choice(
            "Whether a request needs a claim on its idempotency key.", ("none", "required")
        ),
        "max_body_bytes": Number("Largest request body.", 0, GIBIBYTE, Unit.BYTES),
    },
)

PROBING = Section(
    "Budget for measuring load, over all entry hosts.",
    {
        "probes_per_s_per_upstream": Number(
            "Probes to one upstream.", 0, 10_000, Unit.PER_SECOND, whole=False
        ),
        "probes_per_s": Number("Probes.", 0, 1_000_000, Unit.PER_SECOND, whole=False),
        "bytes_per_s": Number(
            "Bytes of probes and their responses.",
            0,
            GIBIBYTE,
            Unit.BYTES_PER_SECOND,
            whole=False,
        ),
        "cpu_share": Number(
            "Share of an entry process's time for probes.", 0, 1, Unit.SHARE, whole=False
        ),
    },
)

DEPLOYMENT_SECTION = Section(
    "All settings of a deployment.",
    {
        "deployment": Text(
            "Name of the deployment.", NAME_PATTERN, NAME_PATTERN_DESCRIPTION, required=True
        ),
        "services": NamedSections("Services by name.", SERVICE, required=True),
        "routes": NamedSections("Routes by name.", ROUTE, required=True),
        "probing": PROBING,
        "entry_hosts_max": Number("Shares into which budgets are split.", 1, 1_000),
        "claim_writes_per_s": Number(
            "Platform writes for claims, over all entry hosts.",
            0,
            100_000,
            Unit.PER_SECOND,
            whole=False,
        ),
        # If a claim is removed too early, a late retry by the caller runs the request again.
        "claim_retention_s": Number(
            "Time after which a claim may be removed.", 60, YEAR_S, Unit.SECONDS, whole=False
        ),
    },
)
