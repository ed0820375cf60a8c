"""Hooks of behave: each scenario gets its own cluster, which is removed afterwards.

The scenarios of a feature with the tag ``one_cluster`` share one cluster.
"""

from gevent import monkey

# Each child process is killed when the kernel thread that started it ends (PR_SET_PDEATHSIG), so
# all Python threads must share one kernel thread.
monkey.patch_all()

from behave.model_core import Status

from features.support.cluster import Cluster

SHARED_TAG = "one_cluster"
FAILED = (Status.failed, Status.error, Status.hook_error)


def before_feature(context, feature):
    context.shared = Cluster() if SHARED_TAG in feature.tags else None


def before_scenario(context, scenario):
    context.cluster = context.shared or Cluster()


def after_scenario(context, scenario):
    try:
        if scenario.status in FAILED:
            print(context.cluster.describe_logs())
    finally:
        if context.shared is None:
            context.cluster.close()


def after_feature(context, feature):
    if context.shared is not None:
        context.shared.close()
