import {
  address,
  availabilityZoneId,
  poolId,
  rackId,
  type Address,
  type AvailabilityZoneId,
  type HostId,
  type PoolId,
} from "@heatherferry/common";
import { storeVersion, workerId, type Resources, type WorkerReport } from "../../src/index.js";
import { MemoryWorker } from "./memoryWorker.js";
import { SiteOrders } from "./siteOrders.js";

/** A simulated host. */
export interface MemoryHost {
  pool: PoolId;
  /** Id of the worker that runs on it; null if there is none. */
  worker: string | null;
  state: "up" | "moving" | "upkeep";
  fence: number;
  maintenances: number;
  /** Maintenance waves that have serviced it; further orders of these have no effect. */
  readonly waves: Set<number>;
}

/** Longest delay until a restarted worker writes its registration. */
const MAX_REGISTRATION_DELAY_MS = 800;

/** Interval at which workers and other writers register. */
const HEARTBEAT_MS = 1_500;

/** An address of another writer, which answers no call. */
const FOREIGN_ADDRESS = address("10.9.0.1:1");

const DEFAULT_ZONE = availabilityZoneId("a");

const CAPACITY: Resources = { cpuMilli: 4_000, memoryMb: 10_000, gpus: 0 };

/** Simulates workers on their hosts: their capacity, crashes and restarts. */
export abstract class SiteWorkers extends SiteOrders {
  readonly hosts = new Map<HostId, MemoryHost>();
  private capacities: readonly Resources[] = [CAPACITY];
  private zones: readonly AvailabilityZoneId[] = [DEFAULT_ZONE];
  /** Whether capacities vary by incarnation of a worker; otherwise they depend on its host only. */
  capacitiesVary = false;
  /** Whether workers forget ends also if they come after their acknowledgement. */
  workersForgetLaterEnds = false;
  private nextAddress = 0;

  /**
   * @param startupMs - Time after which long-running work has started up; null if the progress of
   *   runs counts to their end.
   */
  constructor(
    seed: number,
    private readonly startupMs: number | null,
  ) {
    super(seed);
  }

  /**
   * Crashes a worker and restarts it under its id.
   *
   * @param downMs - Time between the two incarnations.
   * @param moves - Whether it restarts at another address while another process takes over the old
   *   one.
   */
  restartWorker(id: string, downMs: number, moves: boolean): void {
    const { host, pool, address: at } = this.workers.get(id)?.report ?? {};
    if (host == null || pool === undefined || at === undefined) {
      return;
    }
    this.workers.get(id)?.advance(this.nowMs);
    this.workers.delete(id);
    if (moves) {
      this.schedule(this.randomBelow(downMs), () => {
        this.foreignAddresses.add(at);
      });
    }
    this.schedule(downMs, () => {
      const currentHost = this.hosts.get(host);
      if (currentHost?.worker === id && currentHost.state === "up") {
        this.addWorker(
          id,
          host,
          pool,
          moves ? this.newAddress() : at,
          this.randomBelow(MAX_REGISTRATION_DELAY_MS),
        );
      }
    });
  }

  /** Sets the capacities of the workers. Must be called before the simulation starts. */
  resizeWorkers(capacities: readonly Resources[]): void {
    this.capacities = capacities;
    for (const [host, { worker, pool }] of this.hosts) {
      if (worker !== null) {
        this.addWorker(worker, host, pool);
      }
    }
  }

  /** Spreads the hosts over availability zones in turn. Must be called before the simulation starts. */
  spreadOverZones(zones: readonly string[]): void {
    this.zones = zones.map(availabilityZoneId);
    this.resizeWorkers(this.capacities);
  }

  /**
   * Registers an entry of another writer that names a worker's host and a later start, at an address
   * where nobody answers. The worker and this writer go on to register in turns.
   *
   * @param key - Id of the entry; that of the worker, or another.
   * @param forMs - Time after which the entry is removed, or the worker alone writes there.
   */
  registerForeignEntry(worker: string, key: string, forMs: number): void {
    const report = this.workers.get(worker)?.report;
    if (report === undefined) {
      return;
    }
    const entry = {
      ...report,
      id: workerId(key),
      address: FOREIGN_ADDRESS,
      startWallMs: this.nowMs + 1,
    };
    this.store.put(`worker ${key}`, { type: "worker", version: storeVersion(0), report: entry });
    this.schedule(HEARTBEAT_MS, () => {
      const current = this.workers.get(key)?.report;
      if (current !== undefined) {
        const version = storeVersion(0);
        this.store.put(`worker ${key}`, { type: "worker", version, report: current });
      } else if (forMs <= HEARTBEAT_MS) {
        this.store.removeWorker(workerId(key));
      }
      if (forMs > HEARTBEAT_MS) {
        this.registerForeignEntry(worker, key, forMs - HEARTBEAT_MS);
      }
    });
  }

  protected zoneOf(host: HostId): AvailabilityZoneId {
    const { length } = this.zones;
    const index = [...this.hosts.keys()].indexOf(host);
    return this.zones[index % length] ?? DEFAULT_ZONE;
  }

  crashWorker(id: string): void {
    const worker = this.workers.get(id);
    if (worker?.report.host != null) {
      this.addWorker(id, worker.report.host, worker.report.pool);
    }
  }

  private capacityOf(host: HostId): Resources {
    const { length } = this.capacities;
    const index = this.capacitiesVary
      ? this.randomBelow(length)
      : [...this.hosts.keys()].indexOf(host);
    return this.capacities[index % length] ?? CAPACITY;
  }

  private newAddress(): Address {
    this.nextAddress += 1;
    return address(`10.0.0.${this.nextAddress}:1`);
  }

  protected addWorker(
    id: string,
    host: HostId,
    pool: string,
    at: Address = this.workers.get(id)?.report.address ?? this.newAddress(),
    registrationDelayMs = 0,
  ): void {
    const report: WorkerReport = {
      id: workerId(id),
      host,
      pool: poolId(pool),
      address: at,
      availabilityZone: this.zoneOf(host),
      rack: rackId("r"),
      labels: [],
      capacity: this.capacityOf(host),
      draining: false,
      drainRemainingMs: null,
      clockMs: 0,
      startWallMs: this.nowMs,
      coldRemainingMs: 0,
    };
    const worker = new MemoryWorker(report, this.nowMs, this);
    worker.startupMs = this.startupMs;
    worker.forgetsLaterEnds = this.workersForgetLaterEnds;
    this.workers.set(id, worker);
    const writeRegistration = (): void => {
      if (this.workers.get(id) === worker) {
        this.store.put(`worker ${id}`, { type: "worker", version: storeVersion(0), report });
      }
    };
    if (registrationDelayMs > 0) {
      this.schedule(registrationDelayMs, writeRegistration);
    } else {
      writeRegistration();
    }
  }
}
