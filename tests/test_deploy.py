"""The deployment files match the programs; a mismatch would only show when a gateway starts."""

import json
import re
import tomllib
from pathlib import Path

from hemlockswitch.version.gateway_settings import GatewaySettings

DEPLOY = Path(__file__).resolve().parent.parent / "deploy"

GIVEN = {
    "limits": {"cpu_share": 0.537, "link_mbps": 200.0},
    "node": "front-abdoun-hall-1",
    "zone": "abdoun-hall",
    "region": "amman",
    "ip": "10.1.0.14",
    "zones": {"abdoun-hall": "amman", "khalda-hall": "amman"},
    "listen": {"front": "10.1.0.14:8221", "ready": "10.1.0.14:8224"},
    "internal_ports": [7600, 7615],
    "bounds": {
        "grace_s": 8.5,
        "retry_budget_ratio": 0.2,
        "budget_extra": 56,
        "budget_window_s": 10,
        "usage_window_s": 5,
        "quota_slack": 190_000,
        "exposure_share": 0.1,
        "exposure_slack": 50,
    },
    "platform": {"address": "10.200.1.7:8225"},
    "cloud": {"address": "10.200.0.35:8225"},
}
"""Values for the placeholders of the settings template."""


def find_value(name):
    value = GIVEN
    for step in name.split("."):
        value = value[int(step)] if isinstance(value, list) else value[step]
    return str(value)


def is_given(name, given):
    value = given
    for step in name.split("."):
        if step not in value:
            return False
        value = value[step]
    return True


def render(text, given=GIVEN):
    """Fill in the template; supports the parts of the placeholder syntax that it uses."""

    def repeat(match):
        entries = list(GIVEN[match[1]])
        return "".join(
            match[2].replace("{{@}}", entry).replace("{{,}}", "," * (entry != entries[-1]))
            for entry in entries
        )

    def choose(match):
        return match[2] if is_given(match[1], given) else ""

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", repeat, text)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", choose, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: find_value(match[1]), text)


def read_role():
    return tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]["gateway"]


def test_template_renders_valid_gateway_settings():
    template = (DEPLOY.parent / read_role()["template"]).read_text()
    settings = GatewaySettings.from_json(render(template))
    assert settings.name == "front-abdoun-hall-1"
    assert settings.zones == ("abdoun-hall", "khalda-hall")
    assert settings.peer_listen == "10.1.0.14:7600"
    assert settings.stop_grace_s == 8.5
    assert settings.link_mbps == 200.0
    assert settings.repeat_extra == 56
    assert settings.limit_slack == 190_000
    assert (settings.rollout_share, settings.rollout_slack) == (0.1, 50)


def test_platform_without_rollouts_omits_their_bounds():
    template = (DEPLOY.parent / read_role()["template"]).read_text()
    settings = GatewaySettings.from_json(render(template, {**GIVEN, "bounds": {}}))
    assert settings.rollout_share is None


def test_module_of_the_role_exists():
    words = read_role()["run"].split()
    module = words[words.index("-m") + 1].replace(".", "/")
    assert (DEPLOY.parent / f"{module}.py").exists()


def read_pins(path):
    return set(re.findall(r"^([a-z0-9_.-]+==\S+)", path.read_text(), flags=re.MULTILINE))


def test_deployed_versions_equal_the_tested_versions():
    deployed = read_pins(DEPLOY / "requirements.lock")
    assert deployed
    assert deployed <= read_pins(DEPLOY.parent / "requirements.lock")


def test_only_the_adapter_and_stand_ins_contain_platform_headers():
    package = DEPLOY.parent / "hemlockswitch"
    knowing = {
        path.relative_to(package).as_posix()
        for path in package.rglob("*.py")
        if re.search(r"hemlockswitch-[a-z]+-|api[-_]keys|X-Api-Key", path.read_text(), re.I)
    }
    assert json.dumps(sorted(knowing)) == json.dumps(
        [
            "platform/cloud.py",
            "platform/headers.py",
            "platform/manifest.py",
            "standin/gateway_store.py",
            "standin/runner.py",
        ]
    )
