"""Runs the product on the users' platform: translates its wire formats and settings.

Nothing outside this package knows the platform's names. `boot` reads the settings file, `wire`
decodes bodies, `worker_client` and `machine_client` call workers and the machine interface,
`caller_api` and `control_api` serve the platform's calls, `programs` runs the processes.
"""
