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
  allInvariants,
  maintainerInvariants,
  reduce,
  HOST_VIEW,
  type Effect,
  type Event,
  type NodeRole,
  type Policies,
  type State,
} from "../../src/index.js";

/** An event without its time. */
export type UntimedEvent = Event extends infer Each
  ? Each extends Event
    ? Omit<Each, "atMs">
    : never
  : never;

let incarnations = 0;

/** A node, with the faults that a test injects into it. */
export class FleetNode {
  readonly state: State;
  /** Events that arrived while the node was paused. */
  readonly queuedEvents: UntimedEvent[] = [];
  readonly effects: Effect[] = [];
  /** Whether neither its reads nor its writes reach the table. */
  disconnected = false;
  /** Whether its writes are lost; its reads succeed. */
  dropWrites = false;
  /** Whether its reads are lost; its writes succeed. */
  dropReads = false;
  /** Whether the process is suspended; it misses ticks and queues other events. */
  paused = false;
  /** Additional time that its writes take to reach the table. */
  writeDelayMs = 0;
  killed = false;
  /** Number of replies to committed writes that will be lost. */
  repliesToLose = 0;
  /** Violations of invariants since the last check. */
  readonly violations: string[] = [];
  private readonly invariants = [...maintainerInvariants(), ...allInvariants()];
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

  /** Reduces an event, checks the invariants and returns the effects. */
  handle(event: UntimedEvent, nowMs: number): readonly Effect[] {
    this.nowMs = nowMs;
    const timed = { ...event, atMs: nowMs };
    const effects = reduce(this.state, timed, this.policies);
    this.effects.push(...effects);
    for (const invariant of this.invariants) {
      const violation = invariant.violation(timed, effects, this.state);
      if (violation !== null) {
        this.violations.push(`${this.name}: ${violation}`);
      }
    }
    return effects;
  }

  /** Whether the node has written a log line for the event. */
  hasLogged(event: string): boolean {
    return this.effects.some((effect) => effect.type === "log/write" && effect.event === event);
  }

  /** Whether the node has work in flight on the host. */
  hasWorkOn(host: HostId | string): boolean {
    return [...this.state.requests.attempts.values()].some(({ hostId }) => hostId === host);
  }

  /** Starts a request; returns its host, or null when it was not dispatched. */
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

  /** Advances the node's own clock beyond the expiry of its host view. */
  expireHostView(): void {
    this.nowMs += HOST_VIEW.TTL_MS;
  }

  /** Completes all work in flight. */
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
