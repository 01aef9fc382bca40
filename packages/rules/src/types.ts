import type {
  AvailabilityZoneId,
  KeyHash,
  KeyId,
  PoolId,
  QueueId,
  TeamId,
  ValueOf,
  WaveId,
} from "@heatherferry/common";
import type { RULE_KIND, RULE_PROBLEM_KIND } from "./constants.js";

export type RuleKind = ValueOf<typeof RULE_KIND>;
export type RuleProblemKind = ValueOf<typeof RULE_PROBLEM_KIND>;

/** An error in a rules file. */
export interface RuleProblem {
  readonly kind: RuleProblemKind;
  /** Line number in the file, starting at 1. */
  readonly line: number;
  /** Column in the line, starting at 1. */
  readonly column: number;
  /** What is wrong, without a full stop. */
  readonly problem: string;
  /** What to do about it, without a full stop. */
  readonly remedy: string;
}

/** Fields common to all rules. */
export interface RuleBase {
  /** Line number in the file, starting at 1. */
  readonly line: number;
  /** The comment on the line: who asked for the rule, and why. */
  readonly askedBy: string;
}

/** `team NAME share=N limit=N` */
export interface TeamRule extends RuleBase {
  readonly kind: typeof RULE_KIND.TEAM;
  readonly team: TeamId;
  /** Weight of the team when teams compete for a full pool. */
  readonly share: number;
  /** Maximum number of requests of the team running at once in the whole fleet. */
  readonly limit: number;
}

/** `key NAME team=T hash=SHA256HEX` */
export interface KeyRule extends RuleBase {
  readonly kind: typeof RULE_KIND.KEY;
  readonly key: KeyId;
  readonly team: TeamId;
  /** SHA-256 digest of the secret, in hexadecimal. */
  readonly hash: KeyHash;
}

/** `pool NAME hosts=GLOB max-unavailable=N max-unavailable-per-rack=N spare=yes|no` */
export interface PoolRule extends RuleBase {
  readonly kind: typeof RULE_KIND.POOL;
  readonly pool: PoolId;
  /** Glob pattern of host names: a newly listed host that matches it starts in this pool. */
  readonly hosts: string;
  /** Maximum number of hosts of the pool out of service at once, planned and unplanned. */
  readonly maxUnavailable: number;
  /** Maximum number of hosts of the pool out of service at once in one rack. */
  readonly maxUnavailablePerRack: number;
  /** Whether hosts of this pool are to be moved to other pools first; not evaluated yet. */
  readonly spare: boolean;
}

/** `queue NAME pool=P open=yes|no team=T urgent=yes|no max-queued=N timeout-ms=N max-view-age-ms=N` */
export interface QueueRule extends RuleBase {
  readonly kind: typeof RULE_KIND.QUEUE;
  readonly queue: QueueId;
  readonly pool: PoolId;
  /** Team charged for requests without a key; null if the queue requires a key. */
  readonly openTeam: TeamId | null;
  readonly urgent: boolean;
  /** Maximum number of requests of one team that wait on one entry host. */
  readonly maxQueued: number;
  /** Time from arrival to the start of the answer if the caller sets no timeout. */
  readonly timeoutMs: number;
  /** Maximum age of the view of the rules at which keys are accepted; null for the default. */
  readonly maxViewAgeMs: number | null;
}

/** `wave NAME pool=P zone=Z max-parallel=N max-failures=N paused=yes|no` */
export interface WaveRule extends RuleBase {
  readonly kind: typeof RULE_KIND.WAVE;
  readonly wave: WaveId;
  readonly pool: PoolId;
  /** The zone whose hosts are serviced; null for all zones. */
  readonly availabilityZone: AvailabilityZoneId | null;
  /** Maximum number of hosts of the wave serviced at once. */
  readonly maxParallel: number;
  /** Number of hosts that may fail to return to service before the wave stops. */
  readonly maxFailures: number;
  readonly paused: boolean;
}

export type Rule = TeamRule | KeyRule | PoolRule | QueueRule | WaveRule;

/** The rules of a whole file, by name. */
export interface RuleSet {
  readonly teams: ReadonlyMap<TeamId, TeamRule>;
  readonly keys: ReadonlyMap<KeyId, KeyRule>;
  readonly pools: ReadonlyMap<PoolId, PoolRule>;
  readonly queues: ReadonlyMap<QueueId, QueueRule>;
  readonly waves: ReadonlyMap<WaveId, WaveRule>;
}
