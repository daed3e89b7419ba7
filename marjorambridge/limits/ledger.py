"""Account for the KV memory and the concurrency that permits reserve on endpoints."""

from collections import deque

from msgspec import Struct, field

from marjorambridge.core.identity import AttemptId
from marjorambridge.limits.messages import PriorityClass

# Bounds the release times of an endpoint that sends no load reports.
MAX_FREED_TIMES = 1024


class Reservation(Struct):
    """Part of a permit on one endpoint.

    Attributes
    ----------
    tokens : int
        KV memory reserved, in tokens.
    prefill : int
        Uncached prompt tokens that the endpoint has to process.
    ahead : int
        Prefill tokens in progress on the endpoint that the engine processes before `prefill`.
    generation : int
        Generation of the endpoint's ramp at the time of the grant.
    exclusive : bool
        Whether the part exceeds the prefill limit of the cold endpoint, which therefore gets
        no other attempt until this one ends.
    """

    endpoint: str
    incarnation: int
    address: str
    tokens: int
    prefill: int
    cached_tokens: int = 0
    ahead: int = 0
    generation: int = 0
    exclusive: bool = False


class Permit(Struct):
    """A permit and its reservations.

    The identity contains the holder: host and incarnation.

    Attributes
    ----------
    ask : int
        `PermitRequest.ask` of the message that the last grant answered; 0 if the permit was
        registered by a renewal or a handover.
    granted_at, expires_at, expected_end : float
        Monotonic seconds of this host.
    started : bool
        Whether the holder has renewed it at least once.
    cancelling : bool
        Whether the attempt is being cancelled; the permit never becomes valid again.
    """

    identity: AttemptId
    priority: PriorityClass
    ask: int
    granted_at: float
    expires_at: float
    expected_end: float
    output_tokens: int = 0
    started: bool = False
    first_token: bool = False
    cancelling: bool = False
    parts: dict[str, Reservation] = field(default_factory=dict)


class Account(Struct):
    """Sums of the reservations on one endpoint.

    Attributes
    ----------
    permits : dict
        Permits with a part on the endpoint.
    tokens : int
        Reserved KV memory.
    prefill, interactive_prefill : int
        Prefill tokens of attempts without a first token, of all classes and of the interactive
        class.
    long_prefills : int
        Long or group attempts without a first token.
    exclusive : int
        Parts that allow no other attempt while the endpoint is cold.
    recent : dict
        Grants that the last load report cannot contain, oldest first: time and tokens.
    recent_tokens : int
        Sum of `recent`.
    freed_at : deque of float
        Times of the releases that the last load report may not contain.
    host_cancels : dict
        By host, the latest incarnation whose attempts are being cancelled on the endpoint.
    """

    permits: dict[AttemptId, Permit] = field(default_factory=dict)
    tokens: int = 0
    prefill: int = 0
    interactive_prefill: int = 0
    long_prefills: int = 0
    exclusive: int = 0
    recent: dict[AttemptId, tuple[float, int]] = field(default_factory=dict)
    recent_tokens: int = 0
    freed_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_FREED_TIMES))
    host_cancels: dict[str, int] = field(default_factory=dict)


class Ledger(Struct):
    """All permits of a shard.

    Attributes
    ----------
    ended : dict
        Permits that ended lately with the time until which they are kept, oldest first, so that
        delayed messages do not register them again.
    """

    permits: dict[AttemptId, Permit] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    by_host: dict[str, dict[AttemptId, None]] = field(default_factory=dict)
    ended: dict[AttemptId, float] = field(default_factory=dict)


def get_account(ledger: Ledger, endpoint: str) -> Account:
    """Return the account of an endpoint; create it if the endpoint has none."""
    account = ledger.accounts.get(endpoint)
    if account is None:
        account = ledger.accounts[endpoint] = Account()
    return account


def _count_prefill(account: Account, permit: Permit, tokens: int, sign: int) -> None:
    """Add a part without a first token to the prefill sums, or subtract it."""
    account.prefill += sign * tokens
    if permit.priority is PriorityClass.INTERACTIVE:
        account.interactive_prefill += sign * tokens
    if permit.priority in (PriorityClass.LONG, PriorityClass.GROUP):
        account.long_prefills += sign


def add_permit(ledger: Ledger, permit: Permit) -> None:
    """Reserve all parts of a permit."""
    ledger.permits[permit.identity] = permit
    ledger.by_host.setdefault(permit.identity.host, {})[permit.identity] = None
    for endpoint, part in permit.parts.items():
        account = get_account(ledger, endpoint)
        account.permits[permit.identity] = permit
        account.tokens += part.tokens
        account.exclusive += part.exclusive
        account.recent[permit.identity] = (permit.granted_at, part.tokens)
        account.recent_tokens += part.tokens
        if not permit.first_token:
            _count_prefill(account, permit, part.prefill, 1)


def mark_first_token(ledger: Ledger, permit: Permit) -> bool:
    """Count the prefill of a permit as ended; return whether it was in progress."""
    if permit.first_token:
        return False
    for endpoint, part in permit.parts.items():
        _count_prefill(ledger.accounts[endpoint], permit, part.prefill, -1)
    permit.first_token = True
    return True


def refresh_grant(ledger: Ledger, permit: Permit, now: float) -> None:
    """Set the time of a grant to `now`, because the grant is sent again."""
    permit.granted_at = now
    for endpoint, part in permit.parts.items():
        account = ledger.accounts[endpoint]
        if account.recent.pop(permit.identity, None) is None:
            account.recent_tokens += part.tokens
        account.recent[permit.identity] = (now, part.tokens)


def free_part(ledger: Ledger, permit: Permit, endpoint: str, now: float, purge_at: float) -> None:
    """Free the part of a permit on one endpoint; the last part also ends the permit."""
    part = permit.parts.pop(endpoint)
    account = ledger.accounts[endpoint]
    del account.permits[permit.identity]
    account.tokens -= part.tokens
    account.exclusive -= part.exclusive
    if account.recent.pop(permit.identity, None) is not None:
        account.recent_tokens -= part.tokens
    account.freed_at.append(now)
    if not permit.first_token:
        _count_prefill(account, permit, part.prefill, -1)
    if permit.parts:
        return
    del ledger.permits[permit.identity]
    host_permits = ledger.by_host[permit.identity.host]
    del host_permits[permit.identity]
    if not host_permits:
        del ledger.by_host[permit.identity.host]
    record_ended_permit(ledger, permit.identity, purge_at)


def record_ended_permit(ledger: Ledger, identity: AttemptId, purge_at: float) -> None:
    """Record that a permit has ended, until `purge_at`."""
    ledger.ended.pop(identity, None)
    ledger.ended[identity] = purge_at


def purge_ended_permits(ledger: Ledger, now: float) -> None:
    """Remove the ended permits whose retention has passed."""
    while ledger.ended:
        identity = next(iter(ledger.ended))
        if ledger.ended[identity] > now:
            return
        del ledger.ended[identity]


def remove_reported(account: Account, visible_until: float) -> None:
    """Remove from `recent` and `freed_at` what a load report contains.

    Parameters
    ----------
    visible_until : float
        Grants up to this time had started when the report was measured.
    """
    while account.recent:
        identity = next(iter(account.recent))
        granted_at, tokens = account.recent[identity]
        if granted_at > visible_until:
            break
        del account.recent[identity]
        account.recent_tokens -= tokens
    while account.freed_at and account.freed_at[0] <= visible_until:
        account.freed_at.popleft()


def compute_used_tokens(account: Account, reported: int) -> int:
    """Return the KV memory in use: the larger of the ledger, and the report plus later grants."""
    return max(account.tokens, reported + account.recent_tokens)
