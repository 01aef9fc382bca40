import { WorkerStandIn, StoreStandIn } from "@heatherferry/standins";

/** Settings of the simulated site. */
export const SITE = {
  POOLS: ["desk", "match", "mills", "settle", "spare"],
  WORKERS_PER_POOL: 50,
  CAPACITY: { cpu: 16_000, memMb: 32_768, gpu: 0 },
  HEARTBEAT_MS: 1_500,
  STORE_LATENCY_MS: 4,
  CALLER_HOST: "bench.example",
  SECRET: "benchmark",
} as const;

interface RegisteredWorker {
  readonly pool: string;
  readonly address: string;
  readonly worker: WorkerStandIn;
}

const config = (): object => ({
  version: 1,
  routes: SITE.POOLS.map((pool) => ({
    name: `q-${pool}`,
    host: SITE.CALLER_HOST,
    prefix: `/${pool}/`,
    service: pool,
    maxAttempts: 4,
    stretchFactor: 1.6,
    targetDurationMs: 600,
  })),
  services: SITE.POOLS.map((name) => ({ name })),
  tenants: [{ name: "bench", apiKeys: [SITE.SECRET], weight: 1 }],
  limits: { maxBodyBytes: 262_144 },
});

/** Stand-ins of the platform's store and of all workers, which register in the store. */
export class SiteStandIns {
  readonly store = new StoreStandIn();
  private readonly registered: RegisteredWorker[] = [];
  private heartbeats: NodeJS.Timeout | null = null;
  private nextIndex = 0;

  /** @returns Address of the store. */
  async start(): Promise<string> {
    this.store.answerDelayMs = SITE.STORE_LATENCY_MS;
    const storeAddress = await this.store.listen();
    this.store.put("op", "config", config());
    for (const pool of SITE.POOLS) {
      for (let index = 0; index < SITE.WORKERS_PER_POOL; index += 1) {
        const worker = new WorkerStandIn(`i-${pool}-${index}`, SITE.CAPACITY);
        const address = await worker.listen();
        const registered = { pool, address, worker };
        this.registered.push(registered);
        this.report(registered);
      }
    }
    this.heartbeats = setInterval(() => {
      this.reportNext();
    }, SITE.HEARTBEAT_MS / this.registered.length);
    return storeAddress;
  }

  /** Number of items that the workers have started. */
  get startedItems(): number {
    return this.registered.reduce((sum, { worker }) => sum + worker.startedTasks.length, 0);
  }

  async close(): Promise<void> {
    clearInterval(this.heartbeats ?? undefined);
    await Promise.all(this.registered.map(async ({ worker }) => worker.close()));
    await this.store.close();
  }

  private reportNext(): void {
    const registered = this.registered[this.nextIndex];
    this.nextIndex = (this.nextIndex + 1) % this.registered.length;
    if (registered !== undefined) {
      this.report(registered);
    }
  }

  private report({ pool, address, worker }: RegisteredWorker): void {
    this.store.put("servers", worker.id, worker.registration(pool, address));
  }
}
