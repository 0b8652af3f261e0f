"""What hears workers, judges their sessions and concludes from their reports. No I/O.

| state | owner |
| --- | --- |
| a machine's incarnation, sequence numbers, lease and tokens seen | `heartbeats` |
| which responses renew sessions, and which machines list tasks to stop | `session_renewal` |
| whether a session, or a previous leader's, is over | `machine_checks` |
| what each controller may answer in the leader's place, and for how long | `lease_delegation` |
| from when on a machine receives nothing, or sends nothing | `reachability` |
| which machines, zones or this leader count as cut off | `failure_detector` |
| exits and adoptions derived from task lists | `reconciliation`, `task_adoption` |

The time bounds that all of them share are in `lease_bounds`. `ClusterState` and `Machine` hold the
fields, and the rest of `umberward.scheduling` reads them: the modules here decide which tasks may
still be on a machine, those outside decide which tasks are placed, stopped and written.
"""
