"""Names of the users' platform: headers, paths, words."""

from __future__ import annotations

import enum

SETTINGS_VARIABLE = "COPPERCLEAT_CONFIG"


class HeaderName:
    """Headers of clients' and upstreams' calls, in lower case."""

    REQUEST_ID = b"request-id"
    RESPONSE_STAMP = b"response-stamp"
    API_KEY = b"api-key"
    ACCOUNT = b"tenant-id"
    DEADLINE_MS = b"deadline-ms"
    LAST_EVENT_ID = b"last-event-id"
    RESUMES = b"resumes"
    PROMPT_PREFIX = b"prompt-prefix"
    EXPECT_INSTANCE = b"expect-instance"
    NOT_EXECUTED = b"not-executed"
    RETRY_AFTER = b"retry-after"


class Path:
    """Paths of the calls that the instance itself answers or makes."""

    READINESS = "/v1/readiness"
    METRICS = "/metrics"
    ACCOUNTS = "/accounts"
    UPSTREAM_REPORT = b"/v1/report"
    # A "lot" is a job. The second path names a job too, not an item: the item is
    # named in the query.
    JOB = "/v1/lots/"
    JOB_ITEM = "/v1/items/"
    ROWS_TX = "/v1/rows-tx"
    ROWS_GET = "/v1/rows-get"
    ROWS_FEED = "/v1/rows-feed"
    ROWS_PARTS = "/v1/rows-parts"
    BLOB_PUT = "/v1/blob-put/"
    BLOB_GET = "/v1/blob-get/"
    BLOB_DROP = "/v1/blob-drop/"
    BLOB_LIST = "/v1/blob-list"


class RouteWord(enum.Enum):
    """Words for kinds of routes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"


ACCOUNT_HEADERS = frozenset({HeaderName.API_KEY, HeaderName.ACCOUNT})
"""Headers that are never passed on as a client sent them, where there are accounts."""

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only and are never passed on."""
