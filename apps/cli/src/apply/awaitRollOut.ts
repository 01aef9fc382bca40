import { type Revision, rowKey } from "@heatherferry/common";
import { type MemberRow, ROW_PREFIX } from "@heatherferry/core";
import { ROLL_OUT } from "../constants.js";
import { done, err, failed } from "../operation/decisions.js";
import { Operation } from "../operation/operation.js";
import type { TableView } from "../operation/tableView.js";
import type { Continue, Finish, Output } from "../operation/types.js";
import { describeEntryHost, type RollOut, rollOutOf } from "./rollOut.js";

/** How long to wait for the entry hosts. */
export interface WaitBounds {
  readonly timeoutMs: number;
}

/** What was seen so far. */
interface Progress {
  readonly deadlineAtMs: number;
  readonly shown: string;
}

const describe = ({ live, lacking }: RollOut): string =>
  `${live - lacking.length} of ${live} live entry hosts have it`;

const listed = (members: readonly MemberRow[]): string =>
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
${listed(silent)}`;

/**
 * @param operation - The wait.
 * @param outputs - What to print first.
 * @returns The step that begins it.
 */
export const rollOutPlan = (operation: AwaitRollOut, outputs: readonly Output[]): Continue => ({
  type: "continue",
  outputs,
  afterMs: 0,
  operation,
});

/** Waits until all live entry hosts work under a revision. */
export class AwaitRollOut extends Operation {
  override readonly prefixes = [rowKey(ROW_PREFIX.MEMBER)];

  /**
   * @param wanted - The revision.
   * @param bounds - How long to wait.
   * @param progress - What was seen so far; null at the start.
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
    if (rollOut.live > 0 && rollOut.lacking.length === 0) {
      return done(`Revision ${this.wanted}: ${describe(rollOut)}.\n${describeSilent(rollOut)}`);
    }
    const deadlineAtMs = this.progress?.deadlineAtMs ?? nowMs + this.bounds.timeoutMs;
    return nowMs >= deadlineAtMs ? this.timedOut(rollOut) : this.goOn(rollOut, deadlineAtMs);
  }

  override whenUnreadable(reason: string): Finish {
    return failed(
      `${reason}\nRevision ${this.wanted} is accepted; which entry hosts have it is unknown. ` +
        "Run `heatherferry status` once the platform's table answers.",
    );
  }

  private goOn(rollOut: RollOut, deadlineAtMs: number): Continue {
    const shown = describe(rollOut);
    return {
      type: "continue",
      outputs: shown === this.progress?.shown ? [] : [err(shown)],
      afterMs: ROLL_OUT.POLL_INTERVAL_MS,
      operation: new AwaitRollOut(this.wanted, this.bounds, { deadlineAtMs, shown }),
    };
  }

  private timedOut(rollOut: RollOut): Finish {
    const lacking = rollOut.lacking.length === 0 ? "" : `Without it:\n${listed(rollOut.lacking)}`;
    return failed(
      `Revision ${this.wanted} is accepted and stays so, but after ${this.bounds.timeoutMs} ms ` +
        `${describe(rollOut)}.\n${lacking}${describeSilent(rollOut)}` +
        "Look whether these reach the platform or a peer; `heatherferry status` shows them.",
    );
  }
}
