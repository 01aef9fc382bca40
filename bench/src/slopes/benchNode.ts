import {
  address,
  availabilityZoneId,
  entryHostId,
  incarnation,
  keyHash,
  queueId,
  requestId,
  tableVersion,
  type RequestId,
} from "@heatherferry/common";
import {
  defaultPolicies,
  initialState,
  NODE_ROLE,
  reduce,
  type Effect,
  type State,
  type TableRow,
} from "@heatherferry/core";
import type { UntimedEvent } from "@heatherferry/runners";
import { designKeyHash } from "./designRows.js";

const KEY_HASHES = Array.from({ length: 85 }, (_unused, index) => keyHash(designKeyHash(index)));

/** Version of the node's first heartbeat, above the versions of the rows that the bench supplies. */
const JOIN_VERSION = 5_000;

/** Drives the reducer of one entry host without waiting between events. */
export class BenchNode {
  readonly state: State;
  nowMs = 1_000;
  private readonly policies = defaultPolicies();

  constructor() {
    const identity = {
      role: NODE_ROLE.ENTRY,
      entryHostId: entryHostId("e-4-0"),
      availabilityZone: availabilityZoneId("z4"),
      incarnation: incarnation("0123456789abcdef"),
      callerAddress: address("127.0.9.0:8000"),
      peerAddress: address("127.0.9.0:8001"),
    };
    this.state = initialState(identity, 1, this.nowMs);
  }

  handle(event: UntimedEvent): readonly Effect[] {
    return reduce(this.state, { ...event, atMs: this.nowMs }, this.policies);
  }

  /**
   * Commits the node's first heartbeat and completes a read after it. The node starts no work before
   * both have happened.
   */
  join(): void {
    for (const effect of this.handle({ type: "clock/ticked" })) {
      if (effect.type === "table/write") {
        const { writeId } = effect.write;
        this.handle({ type: "table/writeCommitted", writeId, version: tableVersion(JOIN_VERSION) });
      }
    }
    this.readRows([], JOIN_VERSION);
    this.handle({ type: "clock/ticked" });
  }

  /**
   * Completes a read of the platform's table.
   *
   * @param rows - Rows that the read returns.
   * @param atLeast - Lower bound of the version up to which the read is complete.
   */
  readRows(rows: readonly TableRow[], atLeast = 0): void {
    const ranges = [...this.state.platform.ranges.values()].map((range) => ({
      prefix: range.prefix,
      afterVersion: range.upToVersion,
    }));
    const upToVersion = tableVersion(
      Math.max(
        atLeast,
        ...rows.map((row) => row.version),
        ...ranges.map((range) => range.afterVersion),
      ),
    );
    this.handle({
      type: "table/readCompleted",
      sentAtMs: this.nowMs,
      viewAgeMs: 0,
      ranges,
      rows,
      upToVersion,
      tableTimeMs: this.nowMs,
    });
  }

  /**
   * Handles the arrival of a request.
   *
   * @param index - Number of the request; selects its queue.
   * @param team - Number of the team's key.
   * @returns Id of the request.
   */
  receiveRequest(index: number, team = index % KEY_HASHES.length): RequestId {
    const id = requestId(`0123456789abcdef-${index}`);
    this.handle({
      type: "request/arrived",
      requestId: id,
      queue: queueId(`queue-${index % 52}`),
      keyHash: KEY_HASHES[team] ?? null,
      idempotent: true,
      idempotencyKey: null,
      ticket: null,
      timeoutMs: null,
      forwarded: false,
    });
    return id;
  }

  /** Completes the running attempt of a request; does nothing if none is running. */
  completeRequest(id: RequestId): void {
    const attemptId = this.state.requests.records.get(id)?.attemptId;
    if (attemptId === null || attemptId === undefined) {
      return;
    }
    const attempt = { requestId: id, attemptId };
    this.handle({ type: "attempt/answerBegan", ...attempt, statusCode: 200, replayable: true });
    this.handle({ type: "attempt/completed", ...attempt, failed: false });
  }
}
