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

/** Something wrong in a rules file. */
export interface RuleProblem {
  readonly kind: RuleProblemKind;
  /** Line in the file, from 1. */
  readonly line: number;
  /** Column in the line, from 1. */
  readonly column: number;
  /** What is wrong, without a final stop. */
  readonly problem: string;
  /** What to do about it, without a final stop. */
  readonly remedy: string;
}

export interface RuleBase {
  /** Line in the file, from 1. */
  readonly line: number;
  /** The comment: who asked, and why. */
  readonly askedBy: string;
}

/** `team NAME share=N limit=N` */
export interface TeamRule extends RuleBase {
  readonly kind: typeof RULE_KIND.TEAM;
  readonly team: TeamId;
  /** Weight among teams when a pool is full. */
  readonly share: number;
  /** Requests of the team running at once in the whole fleet. */
  readonly limit: number;
}

/** `key NAME team=T hash=SHA256HEX` */
export interface KeyRule extends RuleBase {
  readonly kind: typeof RULE_KIND.KEY;
  readonly key: KeyId;
  readonly team: TeamId;
  /** SHA-256 of the secret, in hexadecimal. */
  readonly hash: KeyHash;
}

/** `pool NAME hosts=GLOB max-unavailable=N max-unavailable-per-rack=N spare=yes|no` */
export interface PoolRule extends RuleBase {
  readonly kind: typeof RULE_KIND.POOL;
  readonly pool: PoolId;
  /** Glob over host names: the pool in which a newly listed host starts. */
  readonly hosts: string;
  /** Hosts of the pool that may be out of service at once, planned and unplanned. */
  readonly maxUnavailable: number;
  /** The same within one rack. */
  readonly maxUnavailablePerRack: number;
  /** Whether hosts of this pool are lent to others first. */
  readonly spare: boolean;
}

/** `queue NAME pool=P open=yes|no team=T urgent=yes|no max-queued=N timeout-ms=N max-view-age-ms=N` */
export interface QueueRule extends RuleBase {
  readonly kind: typeof RULE_KIND.QUEUE;
  readonly queue: QueueId;
  readonly pool: PoolId;
  /** The team charged for requests without a key; null on queues that need one. */
  readonly openTeam: TeamId | null;
  readonly urgent: boolean;
  /** Requests of one team that may wait at one entry host. */
  readonly maxQueued: number;
  /** Time from arrival to the start of the answer, where the caller states none. */
  readonly timeoutMs: number;
  /** Age of the rules' view up to which keys are honoured; null for the default bound. */
  readonly maxViewAgeMs: number | null;
}

/** `wave NAME pool=P zone=Z max-parallel=N max-failures=N paused=yes|no` */
export interface WaveRule extends RuleBase {
  readonly kind: typeof RULE_KIND.WAVE;
  readonly wave: WaveId;
  readonly pool: PoolId;
  /** Null for all zones. */
  readonly availabilityZone: AvailabilityZoneId | null;
  readonly maxParallel: number;
  /** Hosts that may fail to come back before the wave stops itself. */
  readonly maxFailures: number;
  readonly paused: boolean;
}

export type Rule = TeamRule | KeyRule | PoolRule | QueueRule | WaveRule;

/** A whole checked file. */
export interface RuleSet {
  readonly teams: ReadonlyMap<TeamId, TeamRule>;
  readonly keys: ReadonlyMap<KeyId, KeyRule>;
  readonly pools: ReadonlyMap<PoolId, PoolRule>;
  readonly queues: ReadonlyMap<QueueId, QueueRule>;
  readonly waves: ReadonlyMap<WaveId, WaveRule>;
}
