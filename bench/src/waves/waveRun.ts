import {
  address,
  availabilityZoneId,
  entryHostId,
  incarnation,
  revision,
  rowKey,
  type AvailabilityZoneId,
  type HostId,
} from "@heatherferry/common";
import {
  defaultPolicies,
  hostKey,
  initialState,
  NODE_ROLE,
  reduce,
  type DrainAcknowledgement,
  type Effect,
  type Event,
  type HostRow,
  type Policies,
  type State,
  type WaveOrder,
} from "@heatherferry/core";
import { MemoryTable } from "./memoryTable.js";
import { hostsOf, rulesOf, type Shape } from "./shapes.js";

export const WAVE_RUN = {
  TICK_MS: 500,
  /** From the row that says leaving to the acknowledgement: heartbeat and work in flight. */
  DRAIN_MS: 5_000,
  REBOOT_MIN_MS: 240_000,
  REBOOT_MAX_MS: 420_000,
  MAX_MS: 14 * 86_400_000,
  SEED: 11,
} as const;

const MS_PER_HOUR = 3_600_000;

/** What one run cost. */
export interface WaveRunResult {
  readonly rollOutHours: number;
  /** Least time that the budgets and these reboot times allow. */
  readonly boundHours: number;
  /** Time that hosts were out of service, added up. */
  readonly outHostHours: number;
  /** Capacity that the budgets keep free while the pools' waves run. */
  readonly reservedHostHours: number;
  readonly writesPerHost: number;
  readonly reducerMsPerHost: number;
}

type Untimed = Event extends infer Each ? (Each extends Event ? Omit<Each, "atMs"> : never) : never;

const nextRandom = (seed: number): number => (Math.imul(seed, 1_664_525) + 1_013_904_223) >>> 0;

/** The reboot times of all hosts, the same in each run. */
const rebootTimes = (hosts: readonly HostRow[]): Map<HostId, number> => {
  const { REBOOT_MIN_MS, REBOOT_MAX_MS, SEED } = WAVE_RUN;
  let seed: number = SEED;
  return new Map(
    hosts.map(({ hostId }) => {
      seed = nextRandom(seed);
      return [hostId, REBOOT_MIN_MS + (seed / 2 ** 32) * (REBOOT_MAX_MS - REBOOT_MIN_MS)];
    }),
  );
};

const sumBy = (
  hosts: readonly HostRow[],
  keyOf: (host: HostRow) => string,
  timeOf: (host: HostRow) => number,
): Map<string, number> => {
  const sums = new Map<string, number>();
  for (const host of hosts) {
    sums.set(keyOf(host), (sums.get(keyOf(host)) ?? 0) + timeOf(host));
  }
  return sums;
};

/** One maintainer's reducer over a whole fleet, under a virtual clock. */
export class WaveRun {
  private readonly table = new MemoryTable();
  private readonly hosts: readonly HostRow[];
  private readonly rebootMs: Map<HostId, number>;
  private readonly state: State;
  private readonly policies: Policies;
  private readonly due: { readonly atMs: number; readonly act: () => void }[] = [];
  private readonly drained = new Map<AvailabilityZoneId, DrainAcknowledgement[]>();
  private readonly leftAtMs = new Map<HostId, number>();
  private readonly endedAtMs = new Map<string, number>();
  private outMs = 0;
  private nowMs = 1_000;
  private reducerMs = 0;

  constructor(
    private readonly shape: Shape,
    private readonly maxPerRack: number,
    waveOrder: WaveOrder,
  ) {
    this.hosts = hostsOf(shape);
    this.rebootMs = rebootTimes(this.hosts);
    this.policies = { ...defaultPolicies(), waveOrder };
    const identity = {
      role: NODE_ROLE.MAINTAINER,
      entryHostId: entryHostId("m1"),
      availabilityZone: availabilityZoneId("zone-0"),
      incarnation: incarnation("m1-1"),
      callerAddress: address(""),
      peerAddress: address(""),
    };
    this.state = initialState(identity, WAVE_RUN.SEED, this.nowMs);
    this.fillTable();
  }

  /** @returns What the run cost. */
  run(): WaveRunResult {
    while (this.endedAtMs.size < this.shape.pools && this.nowMs < WAVE_RUN.MAX_MS) {
      this.nowMs += WAVE_RUN.TICK_MS;
      this.runDue();
      this.handle({ type: "clock/ticked" });
    }
    const reservedMs = [...this.endedAtMs.values()].reduce((sum, atMs) => sum + atMs, 0);
    return {
      rollOutHours: Math.max(...this.endedAtMs.values()) / MS_PER_HOUR,
      boundHours: this.boundMs() / MS_PER_HOUR,
      outHostHours: this.outMs / MS_PER_HOUR,
      reservedHostHours: (reservedMs * this.shape.maxUnavailable) / MS_PER_HOUR,
      writesPerHost: this.table.writes / this.hosts.length,
      reducerMsPerHost: this.reducerMs / this.hosts.length,
    };
  }

  private boundMs(): number {
    const timeOf = ({ hostId }: HostRow): number =>
      WAVE_RUN.DRAIN_MS + (this.rebootMs.get(hostId) ?? 0);
    const perPool = sumBy(this.hosts, ({ pool }) => pool, timeOf);
    const perRack = sumBy(this.hosts, ({ pool, rack }) => `${pool}/${rack}`, timeOf);
    return Math.max(
      ...[...perPool.values()].map((sum) => sum / this.shape.maxUnavailable),
      ...[...perRack.values()].map((sum) => sum / this.maxPerRack),
    );
  }

  private fillTable(): void {
    const text = rulesOf(this.shape, this.maxPerRack);
    const head = { type: "rulesHead", revision: revision(1), text, appliedBy: "b", appliedAtMs: 0 };
    this.put("rules/head", head as never);
    for (const host of this.hosts) {
      this.put(hostKey(host.availabilityZone, host.hostId), host);
      this.drained.set(host.availabilityZone, []);
    }
    for (const zone of this.drained.keys()) {
      this.putMember(zone);
    }
  }

  private put(key: string, body: Parameters<MemoryTable["put"]>[0][number]["body"]): void {
    this.table.put([{ key: rowKey(key), writeIds: [], body }], this.nowMs);
  }

  private putMember(zone: AvailabilityZoneId): void {
    this.put(`member/${zone}/entry`, {
      type: "member",
      entryHostId: entryHostId(`entry-${zone}`),
      availabilityZone: zone,
      incarnation: incarnation("1"),
      callerAddress: address(""),
      peerAddress: address(""),
      revisionInForce: revision(1),
      left: false,
      drained: this.drained.get(zone) ?? [],
    });
  }

  private after(delayMs: number, act: () => void): void {
    const atMs = this.nowMs + delayMs;
    let place = this.due.length;
    while (place > 0 && (this.due[place - 1]?.atMs ?? 0) > atMs) {
      place -= 1;
    }
    this.due.splice(place, 0, { atMs, act });
  }

  private runDue(): void {
    while (this.due[0] !== undefined && this.due[0].atMs <= this.nowMs) {
      this.due.shift()?.act();
    }
  }

  private handle(event: Untimed): void {
    const beganAtMs = performance.now();
    const effects = reduce(this.state, { ...event, atMs: this.nowMs }, this.policies);
    this.reducerMs += performance.now() - beganAtMs;
    effects.forEach((effect) => {
      this.carryOut(effect);
    });
  }

  private carryOut(effect: Effect): void {
    if (effect.type === "table/read") {
      const { ranges } = effect;
      const rows = this.table.read(ranges);
      const upToVersion = this.table.version;
      const times = { sentAtMs: this.nowMs, viewAgeMs: 0, tableTimeMs: this.nowMs };
      this.handle({ type: "table/readCompleted", ranges, rows, upToVersion, ...times });
    } else if (effect.type === "table/write") {
      this.write(effect.write);
    } else if (effect.type === "host/reboot") {
      const { hostId } = effect;
      this.after(this.rebootMs.get(hostId) ?? 0, () => {
        this.handle({ type: "host/rebooted", hostId });
      });
    }
  }

  private write(write: Extract<Effect, { type: "table/write" }>["write"]): void {
    const { writeId } = write;
    if (!this.table.write(write, this.nowMs)) {
      const rows = write.conditions.flatMap(({ key }) => this.table.rows.get(key) ?? []);
      this.handle({ type: "table/writeConflicted", writeId, rows });
      return;
    }
    for (const { body } of write.puts) {
      if (body.type === "host") {
        this.follow(body);
      } else if (body.type === "wave" && body.status === "done") {
        this.endedAtMs.set(body.waveId, this.nowMs);
      }
    }
    this.handle({ type: "table/writeCommitted", writeId, version: this.table.version });
  }

  private follow({ hostId, phase, drainEpoch, availabilityZone }: HostRow): void {
    if (phase === "leaving") {
      this.leftAtMs.set(hostId, this.nowMs);
      this.after(WAVE_RUN.DRAIN_MS, () => {
        this.drained.get(availabilityZone)?.push({ hostId, drainEpoch });
        this.putMember(availabilityZone);
      });
    } else if (phase === "inService") {
      this.outMs += this.nowMs - (this.leftAtMs.get(hostId) ?? this.nowMs);
      const zone = this.drained.get(availabilityZone) ?? [];
      this.drained.set(
        availabilityZone,
        zone.filter((one) => one.hostId !== hostId),
      );
    }
  }
}
