"""The simulator protocol: batches of messages in, actions out, and errors about malformed input."""

from __future__ import annotations

import base64
import io
import json
import re
import subprocess
import sys
from pathlib import Path

import pytest
from sample_settings import RAW_SETTINGS

from thymehinge.adapter import WireError, serve
from thymehinge.settings import read_settings

ROOT = Path(__file__).parent.parent
BEGIN = f"BEGIN gateway_id=3 seed=7 options={json.dumps(RAW_SETTINGS)}"
ITEM = "ITEM pack=0 scale=1 availability=Running server=h:1 campus=a"
TOPOLOGY = f"TOPOLOGY gateway_id=3 how=disk index=1 items=1\n{ITEM}"
ORDER = (
    "ORDER gateway_id=3 ref=11 time_left_s=3 priority=lookup tier=village customer=5 set_size=1 weight=1 "
    "from_no=0 colour=blue"
)


def run_batches(*batches: str) -> list[str]:
    """Return the output lines of a new adapter for these batches, timed 0.1 s apart from t = 10 s."""
    text = "".join(f"SYNC t_s={10 + i / 10}\n{batch}\nFLUSH\n" for i, batch in enumerate(batches))
    output = io.StringIO()
    serve(io.StringIO(text), output)
    return output.getvalue().splitlines()


def test_request_is_delivered_and_result_accepted():
    output_lines = run_batches(
        f"{BEGIN}\n{TOPOLOGY}",
        ORDER,
        "RESULT gateway_id=3 ref=11 seq_no=0 server=h:1 disposition=0 "
        "time_taken_s=0.1 done_flag=1 stats=queue:3",
    )
    assert any(
        line.startswith("DELIVER gateway_id=3 ref=11 server=h:1 not_past_s=13.1") for line in output_lines
    )
    assert output_lines.count("FINISHED") == 3 and output_lines[-1] == "FINISHED"


def test_empty_and_unknown_input_is_ignored():
    assert (
        run_batches("", "NOVELTY gateway_id=3 x=1", ORDER.replace("gateway_id=3", "gateway_id=9"))
        == ["FINISHED"] * 3
    )


def test_powered_off_gateway_ignores_requests_until_restart():
    output_lines = run_batches(
        f"{BEGIN}\n{TOPOLOGY}", "POWER_OFF gateway_id=3", ORDER, f"{BEGIN}\n{TOPOLOGY}\n{ORDER}"
    )
    assert sum(line.startswith("DELIVER") for line in output_lines) == 1


def test_gateways_do_not_affect_each_other():
    """Guards against state shared by the gateways of one adapter process."""
    other_gateway = f"{BEGIN}\n{TOPOLOGY}\n{ORDER}".replace("gateway_id=3", "gateway_id=4")
    lines_alone, lines_together = (
        run_batches(f"{BEGIN}\n{TOPOLOGY}", ORDER),
        run_batches(f"{BEGIN}\n{TOPOLOGY}\n{other_gateway}", ORDER),
    )
    assert lines_alone == [line for line in lines_together if "gateway_id=4" not in line]


@pytest.mark.parametrize(
    ("batch", "line", "message", "field"),
    [
        (f"{BEGIN}\n{TOPOLOGY}\n{ORDER.replace('ref=11', 'ref=x1')}", 5, "ORDER", "ref"),
        (f"{BEGIN}\n{TOPOLOGY}\n{ORDER.replace('time_left_s=3 ', '')}", 5, "ORDER", "time_left_s"),
        (f"{BEGIN}\n{TOPOLOGY}\n{ORDER.replace('weight=1', 'weight=nan')}", 5, "ORDER", "weight"),
        (f"{BEGIN}\nTOPOLOGY gateway_id=3 how=odd index=1 items=0", 3, "TOPOLOGY", "how"),
        (f"{BEGIN}\nPEER gateway_id=3 by=1 body=%%%", 3, "PEER", "body"),
        (
            f"{BEGIN}\nRESULT gateway_id=3 ref=1 seq_no=0 server=h:1 disposition=77",
            3,
            "RESULT",
            "disposition",
        ),
        ("ELAPSED tag=1", 2, "ELAPSED", "gateway_id"),
        ("BEGIN gateway_id=3 seed=7", 2, "BEGIN", "options"),
        ("BEGIN gateway_id=3 seed=7 options={", 2, "BEGIN", "options"),
        (f"{BEGIN}\n{TOPOLOGY.replace('items=1', 'items=2')}", 5, "ITEM", "FLUSH"),
    ],
)
def test_error_names_line_message_and_field(batch, line, message, field):
    with pytest.raises(WireError) as error_info:
        run_batches(batch)
    error_text = str(error_info.value)
    assert f"line {line}:" in error_text and message in error_text and field in error_text


def test_invalid_input_exits_with_one_error_line():
    invalid_input = f"SYNC t_s=1\n{BEGIN}\nELAPSED gateway_id=3 tag=soon\n"
    completed = subprocess.run(
        [sys.executable, "-m", "thymehinge.adapter"],
        input=invalid_input,
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert completed.returncode == 1 and completed.stdout == ""
    assert completed.stderr == "thymehinge: line 3: ELAPSED: field tag has a bad value 'soon'\n"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("balancers", 0),
        ("balancers", None),
        ("slot_no", 5),
        ("bounds.send_cap", "many"),
        ("classes", None),
        ("obligations.cold_s", -1.0),
        ("discovery", "maybe"),
        ("stats.how", "shouting"),
        ("bounds.cancel", 3),
    ],
)
def test_invalid_setting_is_rejected(path, value):
    raw_settings = json.loads(json.dumps(RAW_SETTINGS))
    section = raw_settings
    *parents, key = path.split(".")
    for name in parents:
        section = section[name]
    section[key] = value
    if value is None:
        del section[key]
    with pytest.raises(ValueError, match=rf"setting {re.escape(path)}(:| is missing)"):
        read_settings(raw_settings)


def test_decision_exception_becomes_one_broken_line(monkeypatch):
    def fail(*_: object) -> None:
        raise IndexError("index\nout of range")

    monkeypatch.setattr("thymehinge.decisions.Gateway.on_request", fail)
    output_lines = run_batches(f"{BEGIN}\n{TOPOLOGY}", ORDER)
    assert [line for line in output_lines if "BROKEN" in line] == [
        "BROKEN gateway_id=3 body_text=IndexError: index out of range"
    ]


def test_malformed_peer_message_is_ignored():
    body = base64.b64encode(b"\x54 rubbish").decode()
    assert run_batches(f"{BEGIN}\n{TOPOLOGY}", f"PEER gateway_id=3 by=1 body={body}", ORDER)[-1] == "FINISHED"


def test_readme_example_runs():
    readme = (ROOT / "README.md").read_text()
    example = readme.split("```python\n")[1].split("```")[0]
    completed = subprocess.run(
        [sys.executable, "-c", example], capture_output=True, text=True, cwd=ROOT, check=False
    )
    assert completed.returncode == 0, completed.stderr
    assert "Send(request_id=1" in completed.stdout
