import { HostInterface, HostWorkers, HOST_STATE, type StandInHost } from "../work/hostInterface.js";
import { LeasedWorker } from "../work/leasedWorker.js";
import { RunObserver } from "../work/runObserver.js";
import type { RunEnd } from "../work/workerTypes.js";
import type { PacedStore } from "./pacedStore.js";
import type { SoakEvents } from "./soakEvents.js";
import type { SoakPlan } from "./types.js";

const HEARTBEAT_MS = 1_500;
/** The store drops the registration of a worker that was silent for this long. */
const REGISTRATION_MS = 3 * HEARTBEAT_MS;
const WORKER_TABLE = "servers";
const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;
const UINT32 = 2 ** 32;

/** Returns a fraction from 0 to 1 that depends on the seed and the text alone. */
const fractionOf = (seed: number, text: string): number => {
  let hash = (FNV_OFFSET ^ seed) >>> 0;
  for (const char of text) {
    hash = Math.imul(hash ^ char.charCodeAt(0), FNV_PRIME) >>> 0;
  }
  hash = Math.imul(hash ^ (hash >>> 15), FNV_PRIME) >>> 0;
  return hash / UINT32;
};

/** Passes on what really runs. */
class RunEvents extends RunObserver {
  constructor(private readonly events: SoakEvents) {
    super();
  }

  override runStarted(worker: string, item: string): void {
    this.events.handle({ type: "run/started", worker, item });
  }

  override runEnded(worker: string, item: string, run: number, end: RunEnd): void {
    this.events.handle({ type: "run/ended", worker, item, run, end });
  }

  override endAcknowledged(worker: string, item: string, run: number, end: RunEnd): void {
    this.events.handle({ type: "run/endAcknowledged", worker, item, run, end });
  }
}

/** The hosts of a soak and their workers, which register in the store. */
export class SoakFleet extends HostWorkers {
  readonly hostInterface: HostInterface;
  private readonly workers = new Map<string, LeasedWorker>();
  private readonly waves = new Map<number, readonly string[]>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly observer: RunEvents;
  private lives = 0;

  constructor(
    private readonly plan: SoakPlan,
    private readonly seed: number,
    private readonly store: PacedStore,
    private readonly events: SoakEvents,
  ) {
    super();
    this.observer = new RunEvents(events);
    const standby = plan.pools.find((pool) => pool.standby)?.name ?? "";
    this.hostInterface = new HostInterface(this, standby);
  }

  /** Brings up all hosts and starts the heartbeats of their workers. */
  async start(): Promise<void> {
    for (const { name, hosts, hostsPerRack, capacity, standby } of this.plan.pools) {
      for (let index = 0; index < hosts; index += 1) {
        const zone = this.plan.zones[index % this.plan.zones.length] ?? "";
        const machine = `m-${name}-${index}`;
        const labels = ["plain", `${name}-r${Math.floor(index / hostsPerRack)}`];
        const host = { machine, zone, labels, capacity, pool: name, state: HOST_STATE.UP };
        this.hostInterface.hosts.set(machine, host);
        if (!standby) {
          await this.beginWorker(host);
        }
      }
    }
    this.timers.add(
      setInterval(() => {
        this.heartbeat();
      }, HEARTBEAT_MS),
    );
  }

  async close(): Promise<void> {
    this.timers.forEach((timer) => {
      clearTimeout(timer);
    });
    await Promise.all([...this.workers.values()].map(async (worker) => worker.close()));
    await this.hostInterface.close();
  }

  /**
   * Returns some of the workers, chosen by a fraction, that are not disturbed at present.
   *
   * @param share - Share of all workers.
   * @param draw - From 0 to 1; the first of them.
   */
  choose(share: number, draw: number): readonly LeasedWorker[] {
    const all = [...this.workers.values()].filter(
      ({ traits }) => !traits.down && !traits.keepsCalls && !traits.draining,
    );
    const first = Math.floor(draw * all.length);
    const count = Math.max(1, Math.round(share * all.length));
    return [...all.slice(first), ...all.slice(0, first)].slice(0, count);
  }

  /** Tells whether a worker is disturbed, after its traits have changed. */
  traitsChanged({ identity, traits }: LeasedWorker): void {
    const { down, isCutOff, keepsCalls, draining, failsAll, stalls } = traits;
    const reachable = !down && !isCutOff && !keepsCalls;
    const sound = reachable && !draining && !failsAll && !stalls;
    this.events.handle({ type: "worker/soundnessChanged", worker: identity.id, sound });
  }

  /** Writes a worker's registration at once. */
  register(worker: LeasedWorker): void {
    this.store.put(WORKER_TABLE, worker.identity.id, worker.registration());
  }

  /** Asks for the maintenance of some hosts. */
  requestWave(wave: number, share: number, draw: number, forMs: number): void {
    const hosts = [...this.hostInterface.hosts.keys()];
    const first = Math.floor(draw * hosts.length);
    const count = Math.max(1, Math.round(share * hosts.length));
    const chosen = [...hosts.slice(first), ...hosts.slice(0, first)].slice(0, count);
    this.waves.set(wave, chosen);
    const ceiling = Math.max(1, Math.ceil(count / 4));
    const request = { wave, machines: chosen, durationS: forMs / 1_000, ceiling };
    this.store.put("op", `wave/${wave}`, request);
  }

  override hostsOfWave(wave: number): readonly string[] | null {
    return this.waves.get(wave) ?? null;
  }

  override begin(host: StandInHost): void {
    void this.beginWorker(host);
  }

  override end(host: StandInHost): void {
    const worker = this.workers.get(host.id ?? "");
    if (worker !== undefined) {
      this.leave(worker);
    }
  }

  /** Ends a worker for good; its registration goes later. */
  leave(worker: LeasedWorker): void {
    const { id } = worker.identity;
    worker.crash();
    this.workers.delete(id);
    this.events.handle({ type: "worker/ended", worker: id });
    void worker.close();
    this.later(HEARTBEAT_MS, () => {
      this.store.remove(WORKER_TABLE, id);
    });
  }

  /** Ends a worker for good and starts another one on its host. */
  replace(worker: LeasedWorker): void {
    const host = this.hostInterface.hosts.get(worker.identity.host);
    if (this.workers.get(worker.identity.id) !== worker || host === undefined) {
      return;
    }
    this.leave(worker);
    void this.beginWorker(host);
  }

  private async beginWorker(host: StandInHost): Promise<void> {
    this.lives += 1;
    const { machine, zone, labels, capacity, pool } = host;
    const id = `${machine}-life-${this.lives}`;
    const identity = { id, pool, zone, host: machine, rack: labels[1] ?? "", capacity };
    const worker = new LeasedWorker(identity, this.observer, (text) => fractionOf(this.seed, text));
    host.id = id;
    this.workers.set(id, worker);
    this.events.handle({ type: "worker/began", identity });
    await worker.listen();
    this.register(worker);
  }

  private heartbeat(): void {
    for (const worker of this.workers.values()) {
      const { id } = worker.identity;
      if (!worker.traits.down) {
        this.register(worker);
      } else if (worker.downForMs > REGISTRATION_MS) {
        this.store.remove(WORKER_TABLE, id);
      }
    }
  }

  private later(forMs: number, act: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      act();
    }, forMs);
    this.timers.add(timer);
  }
}
