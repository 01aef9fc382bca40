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
import { hostsOf, rulesOf, type FleetShape } from "./fleetShapes.js";

export const WAVE_RUN = {
  TICK_MS: 500,
  /** Time from the row with phase leaving to its acknowledgement: heartbeat and work in flight. */
  DRAIN_MS: 5_000,
  REBOOT_MIN_MS: 240_000,
  REBOOT_MAX_MS: 420_000,
  MAX_MS: 14 * 86_400_000,
  SEED: 11,
} as const;

const MS_PER_HOUR = 3_600_000;

/** Times and costs of one run. */
export interface WaveRunResult {
  readonly rollOutHours: number;
  /** Shortest time that the budgets and the reboot times allow. */
  readonly minHours: number;
  /** Total time for which hosts were out of service. */
  readonly unavailableHostHours: number;
  /** Capacity that the budgets reserve while the waves of the pools run. */
  readonly reservedHostHours: number;
  readonly writesPerHost: number;
  readonly reducerMsPerHost: number;
}

type UntimedEvent = Event extends infer Each
  ? Each extends Event
    ? Omit<Each, "atMs">
    : never
  : never;

const nextRandom = (seed: number): number => (Math.imul(seed, 1_664_525) + 1_013_904_223) >>> 0;

/** @returns Reboot times of the hosts; the seed is fixed, so that they are the same in each run. */
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

/** Runs a wave in each pool of a fleet with the reducer of one maintainer, on a virtual clock. */
export class WaveRun {
  private readonly table = new MemoryTable();
  private readonly hosts: readonly HostRow[];
  private readonly rebootMs: Map<HostId, number>;
  private readonly state: State;
  private readonly policies: Policies;
  private readonly timers: { readonly atMs: number; readonly callback: () => void }[] = [];
  private readonly drained = new Map<AvailabilityZoneId, DrainAcknowledgement[]>();
  private readonly drainStartedAtMs = new Map<HostId, number>();
  private readonly endedAtMs = new Map<string, number>();
  private unavailableMs = 0;
  private nowMs = 1_000;
  private reducerMs = 0;

  constructor(
    private readonly shape: FleetShape,
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

  /** @returns Times and costs of the run, which ends with the last wave or after MAX_MS. */
  run(): WaveRunResult {
    while (this.endedAtMs.size < this.shape.pools && this.nowMs < WAVE_RUN.MAX_MS) {
      this.nowMs += WAVE_RUN.TICK_MS;
      this.runDueTimers();
      this.handle({ type: "clock/ticked" });
    }
    const reservedMs = [...this.endedAtMs.values()].reduce((sum, atMs) => sum + atMs, 0);
    return {
      rollOutHours: Math.max(...this.endedAtMs.values()) / MS_PER_HOUR,
      minHours: this.minRolloutMs() / MS_PER_HOUR,
      unavailableHostHours: this.unavailableMs / MS_PER_HOUR,
      reservedHostHours: (reservedMs * this.shape.maxUnavailable) / MS_PER_HOUR,
      writesPerHost: this.table.writes / this.hosts.length,
      reducerMsPerHost: this.reducerMs / this.hosts.length,
    };
  }

  private minRolloutMs(): number {
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

  private after(delayMs: number, callback: () => void): void {
    const atMs = this.nowMs + delayMs;
    let position = this.timers.length;
    while (position > 0 && (this.timers[position - 1]?.atMs ?? 0) > atMs) {
      position -= 1;
    }
    this.timers.splice(position, 0, { atMs, callback });
  }

  private runDueTimers(): void {
    while (this.timers[0] !== undefined && this.timers[0].atMs <= this.nowMs) {
      this.timers.shift()?.callback();
    }
  }

  private handle(event: UntimedEvent): void {
    const startMs = performance.now();
    const effects = reduce(this.state, { ...event, atMs: this.nowMs }, this.policies);
    this.reducerMs += performance.now() - startMs;
    effects.forEach((effect) => {
      this.execute(effect);
    });
  }

  private execute(effect: Effect): void {
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
        this.trackPhase(body);
      } else if (body.type === "wave" && body.status === "done") {
        this.endedAtMs.set(body.waveId, this.nowMs);
      }
    }
    this.handle({ type: "table/writeCommitted", writeId, version: this.table.version });
  }

  private trackPhase({ hostId, phase, drainEpoch, availabilityZone }: HostRow): void {
    if (phase === "leaving") {
      this.drainStartedAtMs.set(hostId, this.nowMs);
      this.after(WAVE_RUN.DRAIN_MS, () => {
        this.drained.get(availabilityZone)?.push({ hostId, drainEpoch });
        this.putMember(availabilityZone);
      });
    } else if (phase === "inService") {
      this.unavailableMs += this.nowMs - (this.drainStartedAtMs.get(hostId) ?? this.nowMs);
      const zone = this.drained.get(availabilityZone) ?? [];
      this.drained.set(
        availabilityZone,
        zone.filter((acknowledgement) => acknowledgement.hostId !== hostId),
      );
    }
  }
}
