import type { KeyHash, KeyId, Revision, TeamId } from "@heatherferry/common";
import type { RuleSet } from "@heatherferry/rules";

/** The rules in force, as operators wrote them. Key: `rules/head`. */
export interface RulesHeadRow {
  readonly type: "rulesHead";
  readonly revision: Revision;
  readonly text: string;
  readonly appliedBy: string;
  /** Wall-clock time of the operator's machine. */
  readonly appliedAtMs: number;
}

/** One applied change of the rules. Key: `audit/<revision, 10 digits>`. */
export interface AuditRow {
  readonly type: "audit";
  readonly revision: Revision;
  readonly fromRevision: Revision;
  readonly appliedBy: string;
  readonly appliedAtMs: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}

/** The key and team that a key hash belongs to. */
export interface KeyHolder {
  readonly key: KeyId;
  readonly team: TeamId;
}

export interface RevisionsState {
  revision: Revision;
  rules: RuleSet;
  keysByHash: Map<KeyHash, KeyHolder>;
  /** The highest revision read, even if this build could not parse it. */
  newestSeenRevision: Revision;
  /** Number of revisions that this build could not parse. */
  unreadableRevisions: number;
}

/** The node now applies this revision of the rules. */
export interface RevisionsEffect {
  readonly type: "rules/inForce";
  readonly revision: Revision;
}
