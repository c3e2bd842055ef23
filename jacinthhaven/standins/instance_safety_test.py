"""Property test of the instance model under random schedules.

It checks the stand-in itself: if the model broke the replication rules, the
proxy's scenarios would report losses that the proxy did not cause.
"""

from hypothesis import given, settings, strategies

from jacinthhaven.records import backend
from jacinthhaven.standins import builders, database_copy

NAMES = 'abc'
DATABASE = builders.DATABASE
# Actions that break replication are rare, so that most histories hold
# acknowledged writes and replaced primaries with entries of their own.
ACTIONS = (
    *('write', 'write', 'write', 'write_stale', 'pull', 'pull', 'pull'),
    *('observe', 'observe', 'observe', 'follow', 'follow', 'follow'),
    *('request', 'deliver', 'promote', 'fence', 'lag', 'restart'),
)
steps = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(ACTIONS),
        strategies.sampled_from(NAMES),
        strategies.sampled_from(NAMES),
    ),
    min_size=40,
    max_size=80,
)


class History:
    """Group under test and the writes that a proxy would acknowledge."""

    def __init__(self) -> None:
        """Start without writes."""
        self.group = builders.Group(NAMES)
        self.pending = {}
        self.acknowledged = set()
        self.replies = {}

    def copy(self, instance):
        """Return an instance's copy of the database."""
        model = self.group.instances[instance]
        return model.copies[DATABASE]

    def run(self, schedule):
        """Run the actions of a schedule."""
        for action, instance, other in schedule:
            if action == 'promote':
                self.promote(instance, other)
            else:
                getattr(self, action)(instance)

    def newest(self):
        """Return the name of the instance with the highest term."""
        return max(
            NAMES,
            key=lambda each: (self.copy(each).primary, self.copy(each).term),
        )

    def write(self, _instance):
        """Write on the newest primary."""
        self.write_stale(self.newest())

    def write_stale(self, instance):
        """Write on an instance that may be a replaced primary."""
        key = f'k{len(self.pending)}'
        request = builders.add(key, self.copy(instance).term)
        reply = self.group.call(instance, request)
        if isinstance(reply, backend.ExecuteReply):
            end = (reply.log_term, reply.position)
            self.pending[key] = (end, {instance})

    def pull(self, instance):
        """Replicate from the followed primary, if there is one."""
        if self.copy(instance).upstream:
            self.group.pull(instance)

    def request(self, instance):
        """Let the followed primary answer, but delay its reply."""
        request = self.group.instances[instance].pull_request(DATABASE)
        upstream = self.copy(instance).upstream
        if upstream:
            primary = self.group.instances[upstream]
            self.replies[instance] = primary.serve_pull(request)

    def deliver(self, instance):
        """Deliver the delayed reply, perhaps once more."""
        reply = self.replies.get(instance)
        if isinstance(reply, database_copy.PullReply):
            model = self.group.instances[instance]
            model.accept_pull(DATABASE, reply, self.group.now_ms)

    def observe(self, instance):
        """Confirm the writes that an instance's log covers."""
        self.group.now_ms += 10
        status = self.group.status(instance)
        for key, (end, holders) in self.pending.items():
            if status.log_term == end[0] and status.position >= end[1]:
                holders.add(instance)
            if len(holders) > 1:
                self.acknowledged.add(key)

    def fence(self, instance):
        """Raise the term of one instance."""
        term = self.copy(instance).term + 1
        self.group.call(instance, backend.FenceRequest(DATABASE, term))

    def follow(self, instance):
        """Let an instance follow the newest primary."""
        primary = self.newest()
        if instance != primary:
            term = self.copy(primary).term
            order = backend.FollowRequest(DATABASE, term, primary)
            self.group.call(instance, order)

    def promote(self, first, second):
        """Fence two instances and promote the one with the newest log."""
        term = self.copy(first).term + 1
        fence = backend.FenceRequest(DATABASE, term)
        ends = {}
        for each in sorted({first, second}):
            reply = self.group.call(each, fence)
            if isinstance(reply, backend.FenceReply):
                ends[each] = (reply.log_term, reply.position)
        if len(ends) < 2:
            return
        best = max(ends, key=ends.get)
        self.group.call(best, backend.PromoteRequest(DATABASE, term))
        lost = self.acknowledged - self.copy(best).log.recorded.keys()
        assert not lost, f'{best} lost {lost} in term {term}'

    def lag(self, instance):
        """Turn the replication lag of an instance on or off."""
        model = self.group.instances[instance]
        model.lag_ms = 0 if model.lag_ms else 25

    def restart(self, instance):
        """Restart an instance with its log."""
        model = self.group.instances[instance]
        model.restart('2', self.group.now_ms)
        model.open('c', backend.ConnectRequest('g/0', 1))


@given(steps)
@settings(max_examples=150, deadline=None)
def test_acknowledged_writes_survive_promotions(schedule):
    """Guards against a model that loses writes confirmed by a majority."""
    history = History()
    history.run(schedule)
    history.promote('a', 'b')
    history.promote('b', 'c')
    terms = {}
    for instance in NAMES:
        copy = history.copy(instance)
        assert copy.log.position <= len(copy.log.entries)
        if copy.primary:
            assert terms.setdefault(copy.term, instance) == instance


@given(steps)
@settings(max_examples=150, deadline=None)
def test_equal_ends_mean_equal_logs(schedule):
    """Guards against logs that differ before an entry of the same term."""
    history = History()
    history.run(schedule)
    logs = [history.copy(instance).log for instance in NAMES]
    for first in logs:
        for second in logs:
            shared = min(first.position, second.position)
            while shared and first.term_at(shared) != second.term_at(shared):
                shared -= 1
            assert first.entries[:shared] == second.entries[:shared]
