"""Tests of when a node that starts opens its first links."""

from jacinthhaven.sql import cluster_builders


def test_no_link_is_opened_before_the_nodes_are_known():
    """Guards against connections of all nodes of a large fleet at a start."""
    cluster = cluster_builders.Cluster(1, settle_ms=0)
    cluster.platforms[0].silent = True
    cluster.run(20)
    cluster.nodes[0].on_registry((), None)
    cluster.run(500)
    assert not cluster.rigs[0].databases.opened
    # Without an answer about the nodes, it acts as an owner after a second.
    cluster.run(600)
    assert cluster.rigs[0].databases.opened
