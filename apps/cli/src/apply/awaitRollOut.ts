import { type Revision, rowKey } from "@heatherferry/common";
import { type MemberRow, ROW_PREFIX } from "@heatherferry/core";
import { ROLL_OUT } from "../constants.js";
import { done, err, failed } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Continue, Finish, Output } from "../operation/types.js";
import { describeEntryHost, type RollOut, rollOutOf } from "./rollOut.js";

/** Limits on the wait for the entry hosts. */
export interface WaitBounds {
  readonly timeoutMs: number;
}

/** Progress of the wait between two polls. */
interface Progress {
  readonly deadlineAtMs: number;
  /** The last status line printed; it is not repeated while unchanged. */
  readonly lastStatus: string;
}

const describeProgress = ({ liveCount, outdated }: RollOut): string =>
  `${liveCount - outdated.length} of ${liveCount} live entry hosts have it`;

const formatMembers = (members: readonly MemberRow[]): string =>
  members
    .map(
      (member) => `  ${describeEntryHost(member)}
`,
    )
    .join("");

const describeSilent = ({ silent }: RollOut): string =>
  silent.length === 0
    ? ""
    : `Silent, and perhaps serving under an earlier revision:
${formatMembers(silent)}`;

/**
 * Creates the decision that starts waiting for a rollout.
 *
 * @param operation - The wait.
 * @param outputs - Text to print first.
 * @returns The decision to continue with the wait at once.
 */
export const awaitRollOutStep = (
  operation: AwaitRollOut,
  outputs: readonly Output[],
): Continue => ({
  type: "continue",
  outputs,
  afterMs: 0,
  operation,
});

/** Waits until all live entry hosts have a revision in force. */
export class AwaitRollOut extends Operation {
  override readonly prefixes = [rowKey(ROW_PREFIX.MEMBER)];

  /**
   * @param wanted - Revision to wait for.
   * @param bounds - How long to wait.
   * @param progress - Progress of earlier polls; null at the start.
   */
  constructor(
    private readonly wanted: Revision,
    private readonly bounds: WaitBounds,
    private readonly progress: Progress | null = null,
  ) {
    super();
  }

  override decide(view: TableView, nowMs: number): Finish | Continue {
    const rollOut = rollOutOf(view, this.wanted);
    if (rollOut.liveCount > 0 && rollOut.outdated.length === 0) {
      return done(
        `Revision ${this.wanted}: ${describeProgress(rollOut)}.\n${describeSilent(rollOut)}`,
      );
    }
    const deadlineAtMs = this.progress?.deadlineAtMs ?? nowMs + this.bounds.timeoutMs;
    return nowMs >= deadlineAtMs ? this.timedOut(rollOut) : this.pollAgain(rollOut, deadlineAtMs);
  }

  override onReadFailure(reason: string): Finish {
    return failed(
      `${reason}\nRevision ${this.wanted} is accepted; it is unknown which entry hosts have it. ` +
        "Run `heatherferry status` once the platform's table answers.",
    );
  }

  private pollAgain(rollOut: RollOut, deadlineAtMs: number): Continue {
    const status = describeProgress(rollOut);
    return {
      type: "continue",
      outputs: status === this.progress?.lastStatus ? [] : [err(status)],
      afterMs: ROLL_OUT.POLL_INTERVAL_MS,
      operation: new AwaitRollOut(this.wanted, this.bounds, { deadlineAtMs, lastStatus: status }),
    };
  }

  private timedOut(rollOut: RollOut): Finish {
    const outdatedList =
      rollOut.outdated.length === 0 ? "" : `Without it:\n${formatMembers(rollOut.outdated)}`;
    return failed(
      `Revision ${this.wanted} is accepted and stays so, but after ${this.bounds.timeoutMs} ms ` +
        `${describeProgress(rollOut)}.\n${outdatedList}${describeSilent(rollOut)}` +
        "Check whether these reach the platform or a peer; `heatherferry status` lists them.",
    );
  }
}
