"""Jobs: steps of tasks that run on workers under leases, and the pools that they run in.

`model`, `commands` and `state` define the replicated state; `scheduler`, `placement`,
`fleet_changes` and `capacity` make decisions; `owner`, `worker_session` and `core` execute them on
the controllers; `gateway` forwards calls from the entries. The owner is the controller that leads:
only the owner starts and stops tasks.
"""
