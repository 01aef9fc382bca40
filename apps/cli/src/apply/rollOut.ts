import type { Revision } from "@heatherferry/common";
import { type MemberRow, MEMBERSHIP, type TableRow } from "@heatherferry/core";
import { ROLL_OUT } from "../constants.js";
import type { TableView } from "../operation/tableView.js";

const heartbeatAgeMs = (view: TableView, row: TableRow<MemberRow>): number =>
  view.tableTimeMs - row.committedAtMs;

const registeredMembers = (view: TableView): readonly TableRow<MemberRow>[] =>
  view.ofType("member").filter(({ body }) => !body.left);

/**
 * Returns the entry hosts whose last heartbeat has not expired by the table's clock.
 *
 * @param view - Rows that include the members.
 */
export const liveEntryHosts = (view: TableView): readonly MemberRow[] =>
  registeredMembers(view)
    .filter((row) => heartbeatAgeMs(view, row) < MEMBERSHIP.SESSION_TERM_MS)
    .map(({ body }) => body);

/**
 * Returns the entry hosts whose heartbeat expired recently and that did not shut down. An entry
 * host that is disconnected from the platform may continue to serve under an earlier revision.
 *
 * @param view - Rows that include the members.
 */
export const silentEntryHosts = (view: TableView): readonly MemberRow[] =>
  registeredMembers(view)
    .filter((row) => heartbeatAgeMs(view, row) >= MEMBERSHIP.SESSION_TERM_MS)
    .filter((row) => heartbeatAgeMs(view, row) < ROLL_OUT.SILENT_MAX_AGE_MS)
    .map(({ body }) => body);

/** Returns an entry host's zone, its id and the revision that it last reported. */
export const describeEntryHost = (member: MemberRow): string =>
  `${member.availabilityZone}/${member.entryHostId} revision ${member.revisionInForce}`;

/** Progress of a revision among the entry hosts. */
export interface RollOut {
  /** Number of entry hosts with a current heartbeat. */
  readonly liveCount: number;
  /** Live entry hosts that still have an earlier revision in force. */
  readonly outdated: readonly MemberRow[];
  /** Entry hosts without a current heartbeat that may still be serving. */
  readonly silent: readonly MemberRow[];
}

/**
 * Returns the progress of a revision among the entry hosts.
 *
 * @param view - Rows that include the members.
 * @param wanted - Revision that is being rolled out.
 */
export const rollOutOf = (view: TableView, wanted: Revision): RollOut => {
  const live = liveEntryHosts(view);
  return {
    liveCount: live.length,
    outdated: live.filter(({ revisionInForce }) => revisionInForce < wanted),
    silent: silentEntryHosts(view),
  };
};
