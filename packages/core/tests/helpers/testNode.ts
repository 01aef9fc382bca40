import {
  address,
  availabilityZoneId,
  entryHostId,
  hostId,
  incarnation,
  keyHash,
  poolId,
  queueId,
  rackId,
  requestId,
  revision,
  rowKey,
  tableVersion,
  teamId,
  TIME,
  type RequestId,
} from "@heatherferry/common";
import {
  allInvariants,
  defaultPolicies,
  initialState,
  NODE_ROLE,
  reduce,
  type Effect,
  type Event,
  type HostRow,
  type NodeIdentity,
  type RequestArrived,
  type RowBody,
  type RulesHeadRow,
  type State,
  type TableRow,
} from "../../src/index.js";

/** Version of the first heartbeat, higher than that of any row that a test sets up. */
const FIRST_HEARTBEAT_VERSION = 50;

export const HASH_A = keyHash("a".repeat(64));
export const HASH_B = keyHash("b".repeat(64));

export const RULES_TEXT = [
  "team lots share=3 limit=60 # asked by San Vicente",
  "team dies share=1 limit=60 # asked by San Vicente",
  `key ka team=lots hash=${HASH_A} # asked by San Vicente`,
  `key kb team=dies hash=${HASH_B} # asked by San Vicente`,
  "pool register hosts=register-* max-unavailable=1 max-unavailable-per-rack=1 # asked by all",
  "queue register pool=register max-queued=5 timeout-ms=5000 # asked by lots",
  "queue public pool=register open=yes team=dies max-queued=5 timeout-ms=5000 # asked by dies",
].join("\n");

export const identityOf = (name: string): NodeIdentity => ({
  role: NODE_ROLE.ENTRY,
  entryHostId: entryHostId(name),
  availabilityZone: availabilityZoneId("a"),
  incarnation: incarnation(`${name}-1`),
  callerAddress: address("127.0.0.1:1"),
  peerAddress: address("127.0.0.1:2"),
});

export const rowOf = (key: string, version: number, body: RowBody): TableRow => ({
  key: rowKey(key),
  version: tableVersion(version),
  committedAtMs: 0,
  writeIds: [],
  body,
});

export const rulesRow = (number: number, text = RULES_TEXT): TableRow => {
  const body: RulesHeadRow = {
    type: "rulesHead",
    revision: revision(number),
    text,
    appliedBy: "operator",
    appliedAtMs: 0,
  };
  return rowOf("rules/head", number, body);
};

export const hostRow = (name: string, version: number, change: Partial<HostRow> = {}): TableRow =>
  rowOf(`host/a/${name}`, version, {
    type: "host",
    hostId: hostId(name),
    availabilityZone: availabilityZoneId("a"),
    rack: rackId("r1"),
    pool: poolId("register"),
    address: address(`127.0.0.1:${version}`),
    slots: 2,
    phase: "inService",
    drainEpoch: 0,
    drainReason: null,
    moveTo: null,
    waveId: null,
    ...change,
  });

/** Base of a lone entry host under a limit of 60, so that the grant needs no escrow write. */
const OWN_BASE = 3;

/** Returns a row that grants this node the whole limit of the team for two hours. */
export const grantRow = (team: string, version: number, limit = 60): TableRow =>
  rowOf(`escrow/zone/a/${team}`, version, {
    type: "zoneEscrow",
    availabilityZone: availabilityZoneId("a"),
    team: teamId(team),
    cap: limit,
    limit,
    above: 0,
    grants: [
      {
        holder: "e1/e1-1",
        ...{ limit, above: 0, base: OWN_BASE, burst: limit - OWN_BASE, held: 0, wanted: 0 },
        ...{ baseUntilMs: 2 * TIME.HOUR_MS, burstUntilMs: 2 * TIME.HOUR_MS },
      },
    ],
  });

type UntimedEvent = Event extends infer Each
  ? Each extends Event
    ? Omit<Each, "atMs">
    : never
  : never;

export type EffectOf<Type extends Effect["type"]> = Extract<Effect, { type: Type }>;

/** Runs one node's reducer with a clock that the test advances. */
export class TestNode {
  readonly state: State;
  /** All effects so far, in order. */
  readonly effects: Effect[] = [];
  nowMs = 1_000;
  private requestCount = 0;
  private readonly invariants = allInvariants();

  constructor(name = "e1") {
    this.state = initialState(identityOf(name), 7, this.nowMs);
  }

  handle(event: UntimedEvent): readonly Effect[] {
    const timed: Event = { ...event, atMs: this.nowMs };
    const effects = reduce(this.state, timed, defaultPolicies());
    this.effects.push(...effects);
    for (const invariant of this.invariants) {
      const violation = invariant.violation(timed, effects, this.state);
      if (violation !== null) {
        throw new Error(`${invariant.name}: ${violation}`);
      }
    }
    return effects;
  }

  advance(byMs: number): readonly Effect[] {
    this.nowMs += byMs;
    return this.handle({ type: "clock/ticked" });
  }

  /** Completes a read of all ranges with the given rows. */
  readRows(
    rows: readonly TableRow[],
    sentAtMs = this.nowMs,
    atLeastVersion = 0,
  ): readonly Effect[] {
    const ranges = [...this.state.platform.ranges.values()].map((range) => ({
      prefix: range.prefix,
      afterVersion: range.upToVersion,
    }));
    const upToVersion = tableVersion(
      Math.max(
        atLeastVersion,
        ...rows.map((row) => row.version),
        ...ranges.map((range) => range.afterVersion),
      ),
    );
    const tableTimeMs = this.nowMs;
    return this.handle({
      type: "table/readCompleted",
      sentAtMs,
      viewAgeMs: 0,
      ranges,
      rows,
      upToVersion,
      tableTimeMs,
    });
  }

  /** Commits the node's heartbeat and reads up to its version, so that the node may start work. */
  join(): void {
    const heartbeat = this.effectsOf("table/write").at(-1);
    if (heartbeat === undefined) {
      throw new Error("The node has sent no heartbeat; call advance() first");
    }
    const version = tableVersion(FIRST_HEARTBEAT_VERSION);
    const { writeId } = heartbeat.write;
    this.handle({ type: "table/writeCommitted", writeId, version });
    this.readRows([], this.nowMs, version);
    this.advance(0);
  }

  arrive(change: Partial<RequestArrived> = {}): RequestId {
    this.requestCount += 1;
    const id = requestId(`q${this.requestCount}`);
    this.handle({
      type: "request/arrived",
      requestId: id,
      queue: queueId("register"),
      keyHash: HASH_A,
      idempotent: true,
      idempotencyKey: null,
      ticket: null,
      timeoutMs: null,
      forwarded: false,
      ...change,
    });
    return id;
  }

  effectsOf<Type extends Effect["type"]>(type: Type): readonly EffectOf<Type>[] {
    return this.effects.filter((effect): effect is EffectOf<Type> => effect.type === type);
  }

  dispatchesOf(id: RequestId): readonly EffectOf<"attempt/dispatch">[] {
    return this.effectsOf("attempt/dispatch").filter((effect) => effect.requestId === id);
  }

  refusalOf(id: RequestId): EffectOf<"caller/refuse">["refusal"] | null {
    const found = this.effectsOf("caller/refuse").find((effect) => effect.requestId === id);
    return found?.refusal ?? null;
  }
}

/** Returns a node that has read rules, grants and targets; its first heartbeat is in flight. */
export const joiningNode = (...targets: readonly string[]): TestNode => {
  const node = new TestNode();
  const hosts = targets.map((name, index) => hostRow(name, 10 + index));
  node.readRows([rulesRow(1), grantRow("lots", 2), grantRow("dies", 3), ...hosts]);
  node.advance(0);
  return node;
};

/** Returns a node that has read the rules and may start work on targets with two slots each. */
export const readyNode = (...targets: readonly string[]): TestNode => {
  const node = joiningNode(...targets);
  node.join();
  return node;
};
