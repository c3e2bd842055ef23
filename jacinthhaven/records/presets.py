"""Records of the operators' configuration and its presets."""

import msgspec


class Preset(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Named set of routing, limit and recovery parameters.

    All durations are in milliseconds, queue and connection counts are per
    database and per instance.

    Attributes:
      routing: Name of the routing policy plug-in.
      queue_limit: Waiting requests per database before shedding starts.
      deadline_ms: Deadline of a request that states none.
      replica_wait_ms: Time a read may wait for a replica to catch up.
      default_max_age_ms: Age allowed to `history` reads that state none.
      suspect_ms: Silence after which a primary is suspected.
      unreachable_ms: Silence seen by most owners that overrules replicas.
      decider_stagger_ms: Extra wait of each further slot before promoting.
      primary_confirm_ms: Age of the proof a primary needs to serve reads.
      transaction_idle_ms: Idle time after which a transaction is aborted.
      retry_ratio: Retries allowed as a share of requests, 0 to 1.
      slow_start_ms: Time over which a fresh target reaches its full share; 0
        lets it take its full share at once.
      excluded_instances: Instances that get no new work.
    """

    routing: str = 'replica_first'
    queue_limit: int = 500
    deadline_ms: int = 5000
    replica_wait_ms: int = 20
    default_max_age_ms: int = 0
    suspect_ms: int = 500
    unreachable_ms: int = 1500
    decider_stagger_ms: int = 300
    primary_confirm_ms: int = 500
    transaction_idle_ms: int = 10000
    retry_ratio: float = 0.1
    slow_start_ms: int = 0
    excluded_instances: list[str] = msgspec.field(default_factory=list)


class Configuration(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Document under the store key `config`.

    Attributes:
      change_id: Unique id of the change that wrote this document.
      presets: Presets by name.
    """

    change_id: str = ''
    presets: dict[str, Preset] = msgspec.field(default_factory=dict)


class PresetChoice(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Document under the store key `preset`: which preset is in force."""

    change_id: str = ''
    name: str = ''


class Policy(msgspec.Struct, kw_only=True):
    """Configuration in force on a node, as one immutable view.

    Attributes:
      revision: Store revision of the newer of the two documents.
      name: Name of the preset in force.
      preset: Parameters of the preset in force.
    """

    revision: int = 0
    name: str = ''
    preset: Preset = msgspec.field(default_factory=Preset)
