import { ExecutorStandIn, StoreStandIn } from "@heatherferry/standins";

/** What the load runs on. */
export const SITE = {
  POOLS: ["desk", "match", "mills", "settle", "spare"],
  WORKERS_A_POOL: 50,
  CAPACITY: { cpu: 16_000, memMb: 32_768, gpu: 0 },
  HEARTBEAT_MS: 1_500,
  STORE_MS: 4,
  CALLER_HOST: "bench.example",
  SECRET: "benchmark",
} as const;

interface ListedExecutor {
  readonly pool: string;
  readonly address: string;
  readonly executor: ExecutorStandIn;
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

/** Stand-ins of the platform's store and of all executors, which report themselves there. */
export class SiteStandIns {
  readonly store = new StoreStandIn();
  private readonly listed: ListedExecutor[] = [];
  private heartbeats: NodeJS.Timeout | null = null;
  private nextToReport = 0;

  /** @returns Where the store listens. */
  async start(): Promise<string> {
    this.store.answerAfterMs = SITE.STORE_MS;
    const storeAt = await this.store.listen();
    this.store.put("op", "config", config());
    for (const pool of SITE.POOLS) {
      for (let index = 0; index < SITE.WORKERS_A_POOL; index += 1) {
        const executor = new ExecutorStandIn(`i-${pool}-${index}`, SITE.CAPACITY);
        const address = await executor.listen();
        const listed = { pool, address, executor };
        this.listed.push(listed);
        this.report(listed);
      }
    }
    this.heartbeats = setInterval(() => {
      this.reportNext();
    }, SITE.HEARTBEAT_MS / this.listed.length);
    return storeAt;
  }

  /** Items that executors have started so far. */
  get starts(): number {
    return this.listed.reduce((sum, { executor }) => sum + executor.started.length, 0);
  }

  async close(): Promise<void> {
    clearInterval(this.heartbeats ?? undefined);
    await Promise.all(this.listed.map(async ({ executor }) => executor.close()));
    await this.store.close();
  }

  private reportNext(): void {
    const listed = this.listed[this.nextToReport];
    this.nextToReport = (this.nextToReport + 1) % this.listed.length;
    if (listed !== undefined) {
      this.report(listed);
    }
  }

  private report({ pool, address, executor }: ListedExecutor): void {
    this.store.put("servers", executor.id, executor.entry(pool, address));
  }
}
