"""Tests of the way to the store: directly, or through another node."""

import random

from jacinthhaven.sql import store_routes

_NODES = (('10.1.0.1', 1), ('10.1.0.2', 1), ('10.1.0.3', 1), ('10.1.0.4', 1))


def _routes(nodes=_NODES) -> store_routes.StoreRoutes:
    return store_routes.StoreRoutes(nodes, random.Random(1))


def test_direct_way_is_used_while_it_works():
    """Guards against calls through other nodes without need."""
    routes = _routes()
    for now_ms in range(0, 60_000, 1000):
        way = routes.choose(now_ms)
        assert way is None
        routes.on_success(way)


def test_node_that_the_store_refuses_calls_through_another():
    """Guards against a node that learns nothing while others reach the store."""
    routes = _routes()
    assert routes.on_failure(None, 0)
    way = routes.choose(20)
    assert way in _NODES
    routes.on_success(way)
    assert routes.choose(5000) == way


def test_failed_ways_are_tried_once_before_a_pause():
    """Guards against trying ways in a loop while the store is down."""
    routes = _routes()
    tried = []
    while routes.on_failure(routes.choose(0), 0):
        tried.append(routes.choose(0))
    assert len(set(tried)) == 3
    assert routes.choose(0) is None


def test_calls_that_fail_together_count_once():
    """Guards against skipping nodes because several calls were under way."""
    routes = _routes()
    routes.on_failure(None, 0)
    first = routes.choose(0)
    assert routes.on_failure(None, 10)
    assert routes.choose(10) == first


def test_direct_way_is_tried_again():
    """Guards against calls through other nodes for good."""
    routes = _routes()
    routes.on_failure(None, 0)
    way = routes.choose(0)
    routes.on_success(way)
    assert routes.choose(9000) is None
    routes.on_failure(None, 9000)
    assert routes.choose(9000) == way


def test_node_without_others_retries_the_direct_way():
    """Guards against an error where no other node is known."""
    routes = _routes(())
    assert not routes.on_failure(routes.choose(0), 0)
    assert routes.choose(0) is None
