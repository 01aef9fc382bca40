import {
  address,
  availabilityZoneId,
  entryHostId,
  incarnation,
  queueId,
  requestId,
  type HostId,
  type RequestId,
} from "@heatherferry/common";
import {
  defaultPolicies,
  initialState,
  reduce,
  VIEW,
  type Effect,
  type Event,
  type NodeRole,
  type Policies,
  type State,
} from "../../src/index.js";

export type Untimed = Event extends infer Each
  ? Each extends Event
    ? Omit<Each, "atMs">
    : never
  : never;

let incarnations = 0;

/** One node and what is wrong with it. */
export class FleetNode {
  readonly state: State;
  /** Events that came while it was paused. */
  readonly held: Untimed[] = [];
  readonly effects: Effect[] = [];
  cutOff = false;
  /** Its reads go through, its writes do not. */
  dropWrites = false;
  /** Its writes go through, its reads do not. */
  dropReads = false;
  paused = false;
  /** Time its writes spend on the way. */
  delayWritesMs = 0;
  dead = false;
  /** Replies to writes that are lost after the write took effect. */
  loseReplies = 0;
  policies: Policies = defaultPolicies();
  private requestCount = 0;
  private nowMs: number;

  constructor(
    readonly name: string,
    zone: string,
    role: NodeRole,
    nowMs: number,
  ) {
    incarnations += 1;
    this.nowMs = nowMs;
    const identity = {
      role,
      entryHostId: entryHostId(name),
      availabilityZone: availabilityZoneId(zone),
      incarnation: incarnation(`${name}-${incarnations}`),
      callerAddress: address("127.0.0.1:1"),
      peerAddress: address("127.0.0.1:2"),
    };
    this.state = initialState(identity, 7, nowMs);
  }

  handle(event: Untimed, nowMs: number): readonly Effect[] {
    this.nowMs = nowMs;
    const effects = reduce(this.state, { ...event, atMs: nowMs }, this.policies);
    this.effects.push(...effects);
    return effects;
  }

  logged(event: string): boolean {
    return this.effects.some((effect) => effect.type === "log/write" && effect.event === event);
  }

  worksOn(host: HostId | string): boolean {
    return [...this.state.requests.attempts.values()].some(({ hostId }) => hostId === host);
  }

  /** Starts a request; returns its host, or null when none took it. */
  startWork(queue = "open"): HostId | null {
    this.requestCount += 1;
    const id = requestId(`${this.name}:${this.requestCount}`);
    const fields = {
      keyHash: null,
      idempotent: false,
      idempotencyKey: null,
      ticket: null,
      timeoutMs: 3_600_000,
      forwarded: false,
    };
    this.handle(
      { type: "request/arrived", requestId: id, queue: queueId(queue), ...fields },
      this.nowMs,
    );
    return this.attemptOf(id)?.hostId ?? null;
  }

  /** Moves the node's own clock past the lapse of its view. */
  lapseView(): void {
    this.nowMs += VIEW.LAPSE_MS;
  }

  /** Ends all work that is in flight. */
  finishWork(): void {
    for (const { attemptId, requestId: id } of [...this.state.requests.attempts.values()]) {
      this.handle(
        {
          type: "attempt/answerBegan",
          requestId: id,
          attemptId,
          statusCode: 200,
          replayable: true,
        },
        this.nowMs,
      );
      this.handle(
        { type: "attempt/completed", requestId: id, attemptId, failed: false },
        this.nowMs,
      );
    }
  }

  private attemptOf(id: RequestId) {
    return [...this.state.requests.attempts.values()].find((attempt) => attempt.requestId === id);
  }
}
