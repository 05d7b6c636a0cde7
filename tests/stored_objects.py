"""Objects in the form in which the platform's store returns them."""

from vanilladrum.platform import objects

SERVER_ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "bilbao",
    "version": "v1",
    "max-concurrency": 2,
    "state": "ready",
    "warmup-left-ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path-prefix": "/8080/",
            "timeout-ms": 600,
            "service": "huvo11a",
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "timeout-ms": 500,
            "backends": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
        },
    ],
    "services": [{"name": "huvo11a", "health-check-path": "/health"}],
    "limits": {"idle-timeout-ms": 15000},
}


def make_object(name, content, revision=1, deleted=False):
    """Return an object as the platform client parses it."""
    document = {"meta": {"name": name, "revision": revision}, "spec": content}
    return objects.parse_object(document, deleted=deleted)
