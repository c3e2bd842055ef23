"""Grants of one node as the accountant of some customers."""

import typing

from jacinthhaven.quotas import buckets, limits, messages, quorum

Send = typing.Callable[[str, messages.Message], None]

# Reply to a request if it is not known that the customer used up its limit.
UNKNOWN_RETRY_MS = -1


class Account:
    """Tokens of one customer at its accountant.

    Attributes:
      bucket: Tokens that are left.
      begin_ms: Start of the term for which the bucket is valid, or None.
      proved: Whether the bucket was filled, or a window has passed since it
        was empty. Otherwise it may be empty although the customer is below
        its limit.
    """

    __slots__ = ('bucket', 'begin_ms', 'proved')

    def __init__(self) -> None:
        """Start without a term."""
        self.bucket = buckets.TokenBucket()
        self.begin_ms: int | None = None
        self.proved = False


class Accountant:
    """Accounts of one node.

    Attributes:
      slack: How far limits may be exceeded.
      quorum: Terms of this node.
      send: Sends a message to a node.
      accounts: Accounts by customer; idle where another node is the
        accountant.
    """

    def __init__(
        self,
        slack: limits.Slack,
        terms: quorum.Quorum,
        send: Send,
    ) -> None:
        """Start without accounts."""
        self.slack = slack
        self.quorum = terms
        self.send = send
        self.accounts: dict[str, Account] = {}

    def configure(
        self, customer: str, limit: limits.Limit, now_ms: int
    ) -> None:
        """Apply the limit of a customer.

        A change adds no tokens; a bucket that is too full is cut at once.
        """
        account = self.accounts.get(customer)
        if account is None:
            account = Account()
            self.accounts[customer] = account
        account.bucket.resize(
            limit.rate_per_s, limit.burst + self.slack.granted(limit), now_ms
        )

    def acting(self, customer: str, now_ms: int) -> Account | None:
        """Return the account of a customer if tokens may be granted now."""
        begin_ms = self.quorum.begin_ms(customer, now_ms)
        if begin_ms is None or now_ms < begin_ms:
            return None
        account = self.accounts[customer]
        if account.begin_ms != begin_ms:
            account.begin_ms = begin_ms
            account.proved = False
            account.bucket.empty(begin_ms)
        return account

    def take(self, customer: str, now_ms: int) -> bool:
        """Take a token for this node; `acting` must have returned an account."""
        account = self.accounts[customer]
        taken = account.bucket.take(now_ms)
        self._update_proof(account, now_ms)
        return taken

    def retry_ms(self, account: Account) -> int:
        """Return the time until the next token, or -1 if that is no refusal."""
        if not account.proved:
            return UNKNOWN_RETRY_MS
        return account.bucket.next_token_ms()

    def on_request(self, request: messages.QuotaRequest, now_ms: int) -> None:
        """Grant tokens, or say that there are none."""
        tokens = 0
        retry_ms = UNKNOWN_RETRY_MS
        if request.customer in self.accounts:
            account = self.acting(request.customer, now_ms)
            if account is not None:
                self.quorum.followers_ms[request.sender] = now_ms
                until_ms = now_ms + limits.TOKEN_LIFETIME_MS
                tokens = account.bucket.grant(request.wanted, until_ms, now_ms)
                self._update_proof(account, now_ms)
                if tokens < request.wanted:
                    retry_ms = self.retry_ms(account)
        self.send(
            request.sender,
            messages.QuotaGrant(
                self.quorum.views.node,
                request.customer,
                request.number,
                tokens,
                limits.TOKEN_LIFETIME_MS,
                retry_ms,
            ),
        )

    def _update_proof(self, account: Account, now_ms: int) -> None:
        if account.proved:
            return
        bucket = account.bucket
        full = bucket.level + bucket.outstanding >= bucket.capacity
        old = now_ms - (account.begin_ms or 0) >= self.slack.window_ms
        account.proved = full or old
