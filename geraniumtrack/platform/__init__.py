"""Adapter between this project and the platform that it is deployed on.

Only this package knows the names that this platform uses. `transport.platform_client` is the client
of another HTTP API, the one at the setting `platform_url`. In this package, `boot` reads the
settings file, `wire` decodes bodies of calls into the project's types, `worker_client`,
`machine_client` and `advice_client` call workers, the machine API and the policy service,
`caller_api` and `control_api` serve callers, workers and operators, `answers` builds error replies,
and `programs` contains the two programs, `front` and `core`. The owner is the leading controller,
a `core` process.
"""
