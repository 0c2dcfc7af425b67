"""Reads `Settings` from the JSON object of the simulator protocol and of gateway configuration files."""

from __future__ import annotations

from typing import Any

from thymehinge import interface as api

IDEMPOTENCY = {
    "read_like": api.Idempotency.SAFE,
    "idempotency_key": api.Idempotency.KEYED,
    "non_idempotent": api.Idempotency.UNSAFE,
}
LOAD_REPORT_SOURCES = {
    "piggyback": api.LoadReportSource.RESPONSES,
    "pull": api.LoadReportSource.PROBES,
    "silent": api.LoadReportSource.NONE,
}


def get_setting(value: Any, path: str, kind: type | dict[str, Any], default: Any = None) -> Any:
    """Return the value at a dotted path of a JSON object.

    Args:
        value: the JSON object.
        path: names of nested fields, joined by dots.
        kind: the type of the value, or a mapping from the accepted strings to the values to return.
        default: returned if the field is missing; None makes the field mandatory.

    Raises:
        ValueError: the field is missing or its value is not accepted; the message names the path.
    """
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    if value is None:
        if default is None:
            raise ValueError(f"setting {path} is missing")
        return default
    if isinstance(kind, dict):
        if not isinstance(value, str) or value not in kind:
            raise ValueError(f"setting {path}: unknown value {value!r}")
        return kind[value]
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise ValueError(f"setting {path}: invalid value {value!r}")
    return value


def read_settings(raw: Any) -> api.Settings:
    """Convert the settings object to `Settings`; unknown fields are ignored.

    Raises:
        ValueError: a field is missing or invalid; the message names it.
    """
    if not isinstance(raw, dict):
        raise ValueError("settings: not an object")
    scopes = {scope.value: scope for scope in api.DedupScope}
    classes = tuple(
        api.RequestClass(
            name=get_setting(item, "name", str),
            latency_target=get_setting(item, "aim_s", float),
            timeout=get_setting(item, "give_up_s", float),
            value=get_setting(item, "importance", float, 1.0),
            late_value=get_setting(item, "late_worth", float, 0.0),
            idempotency=get_setting(item, "repeat", IDEMPOTENCY),
            dedup_scope=get_setting(item, "dedup_scope", scopes, api.DedupScope.ALL),
            dedup_window=get_setting(item, "dedup_window_s", float, 0.0),
            streamed=get_setting(item, "streamed", bool, False),
        )
        for item in get_setting(raw, "classes", list)
    )
    plans = tuple(
        api.Plan(
            name=get_setting(contract, "name", str),
            rate=get_setting(contract, "refill", float, 0.0),
            burst=get_setting(contract, "burst", float, 0.0),
            max_in_flight=get_setting(contract, "max_out", int, 0),
            value_factor=get_setting(contract, "value_factor", float, 1.0),
            overage_value=get_setting(contract, "excess_worth", float, 0.0),
            overage_cost=get_setting(contract, "over_cost", float, 0.0),
            cap_rate=get_setting(contract, "cap_rate", float, 0.0),
            cap_burst=get_setting(contract, "never_over_depth", float, 0.0),
            cap_slack=get_setting(contract, "cap_slack", float, 0.0),
        )
        for contract in get_setting(raw, "contracts", list, [])
    )

    def get(path: str, kind: type | dict[str, Any], default: Any = None) -> Any:
        return get_setting(raw, path, kind, default)

    return api.Settings(
        classes=classes,
        plans=plans,
        gateway_index=get("slot_no", int),
        gateway_count=get("balancers", int),
        zone=get("zone", str, ""),
        cancel_enabled=get("bounds.cancel", bool, False),
        probes_enabled=get("bounds.may_probe", bool, False),
        peers_enabled=get("bounds.peers", bool, False),
        hedging_enabled=get("bounds.second_copies", bool, False),
        max_attempts=get("bounds.send_cap", int),
        retry_after_enabled=get("bounds.retry_after", bool, False),
        max_retry_after=get("bounds.max_retry_after_s", float, 1.0),
        watch_required=get("discovery", {"automatic": False, "subscribe": True}, False),
        max_list_age=get("obligations.ask_within_s", float, 10.0),
        postpaid=get("family_info.post_paid", bool, False),
        counters_enabled=get("family_info.may_count", bool, False),
        counter_timeout=get("family_info.count_limit_s", float, 0.0),
        meter_period=get("family_info.meter_s", float, 0.0),
        max_units=get("family_info.max_units", float, 1.0),
        peer_messages_per_s=get("family_info.peer_in_per_s", float, 0.0),
        load_report_source=get("stats.how", LOAD_REPORT_SOURCES, api.LoadReportSource.NONE),
        drain_grace=get("obligations.stop_sending_within_s", float),
        slow_start_capacity=get("obligations.cold_from", float),
        slow_start_duration=get("obligations.cold_s", float),
        overload_multiple=get("obligations.fall_multiple", float),
        overload_window=get("obligations.fall_s", float),
        tick=get("tick_s", float, 0.001),
        cross_zone_price=get("fees.cross_zone", float, 0.0),
    )
