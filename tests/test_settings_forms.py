"""The simulator's text and a node's JSON as formats of the same settings."""

from __future__ import annotations

from datetime import timedelta

from stepflow.settings import parse_node_settings, parse_settings
from tests.node_kit import SETTINGS


def test_text_and_json_are_parsed_to_the_same_settings() -> None:
    text = (
        "group_size=1\ndiscovery=on_request\nazs=a\nkinds=k\nclasses.count=1\nclasses.0.name=view\n"
        "classes.0.aim_us=300000\nclasses.0.give_up_us=1200000\nclasses.0.effect=repeatable\n"
        "classes.0.credit=1.0\ndomain.message_aim_us=50000.0\ndomain.mode=proxy\ndomain.groups=true\n"
        "policy_limits.most_tries=6\npolicy_limits.probing=true\npolicy_limits.cancel=true\n"
        "report.fields=x0,x1,utilization\nreport.via=probe\n"
    )
    node_settings = parse_node_settings(SETTINGS)
    assert node_settings.policy == parse_settings(text)
    assert node_settings.connect_timeout == timedelta(milliseconds=200)
