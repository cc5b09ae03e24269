"""Jobs: steps of tasks that run on workers under leases, and the pools that they run in.

`model`, `commands` and `state` are what lasts; `scheduler`, `placement`, `upkeep` and `capacity`
decide; `owner`, `worker_session` and `core` carry it out; `gateway` is the side of the entries.
"""
