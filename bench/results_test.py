"""Tests of the table and of the virtual fleet."""

import os

from bench import control_plane, process_stats, results, virtual_fleet


def test_table_has_every_figure_and_baseline():
    """Guards against rows or baselines that the page would not show."""
    result = results.Result('hot_path')
    result.add('rate', 4321, 'statements/s', 'one owner', baseline=0.5)
    result.add('memory', 1.25, 'MB')
    lines = results.table([result]).splitlines()
    assert lines[2:] == [
        '| hot_path: rate | 4,321 | statements/s | 0.5 | one owner |',
        '| hot_path: memory | 1.25 | MB |  |  |',
    ]


def test_own_process_has_time_and_memory():
    """Guards against a wrong field of /proc, which would read as 0."""
    before = process_stats.cpu_s(os.getpid())
    sum(number * number for number in range(2_000_000))
    assert process_stats.cpu_s(os.getpid()) > before
    assert process_stats.rss_kb(os.getpid()) > 1024


def test_fleet_learns_all_members():
    """Guards against a virtual network or store that loses messages."""
    fleet = virtual_fleet.Fleet(8, 3)
    fleet.run_for(5000)
    assert fleet.settled()
    hosts = list(fleet.hosts.values())
    sent = sum(host.sent_bytes for host in hosts)
    received = sum(host.received_bytes for host in hosts)
    assert 0 < received <= sent


def test_clock_advances_without_events():
    """Guards against a wait that never ends between two distant events."""
    fleet = virtual_fleet.Fleet(0, 3)
    fleet.run_for(10)
    fleet.run_for(10)
    assert fleet.now_ms == 20


def test_measurement_of_a_small_fleet(monkeypatch):
    """Guards against a change that is reported without being in force."""
    monkeypatch.setattr(control_plane, '_SIZES', {8: 3})
    figures = {row.name: row.figure for row in control_plane.measure(0).rows}
    told = figures['change: operator told `in force`, worst of 5, 8 nodes']
    last = figures['change: in force on the last node, worst of 5, 8 nodes']
    assert 0 < last <= told
