"""The control role: replicated configuration, check-ins of runners, distribution and placement.

Start reading at `node`, the lifecycle of the process, and at `assembly`, which connects its components:

    operator API      `http_api` -> `operator_calls` -> `operator_service` -> `replicated_log`
    replicated state  `operator_order` (a record), `configuration_state`, `configuration_size`, `disk`
    runners           `http_api` -> `runner_check_ins`; `runner_ownership`: whose runners are monitored
    contact           `latest_view`, `majority_contact`, `contact_monitor`, `control_processes`
    distribution      `publication`: the configuration in the registry; `rpc_service`: RPC methods
    placement         `placer_role`
    periodic work     `periodic_work`
    operation         `status`, `metrics`, `restore`
"""
