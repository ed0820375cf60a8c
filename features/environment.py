"""Hooks of behave: each scenario has its own cluster, and nothing of it stays behind."""

from behave.model_core import Status

from features.support.cluster import Cluster


def before_scenario(context, scenario):
    context.cluster = Cluster()


def after_scenario(context, scenario):
    try:
        if scenario.status in (Status.failed, Status.error, Status.hook_error):
            print(context.cluster.describe_logs())
    finally:
        context.cluster.close()
